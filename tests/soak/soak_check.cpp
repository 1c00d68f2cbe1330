#include "soak/soak_check.h"

#include <algorithm>
#include <array>

namespace peridot::soak {

namespace {

constexpr unsigned first_failure_status = 400;
constexpr unsigned status_not_found = 404;
// Statuses which guarantee that the request has not run and will not run.
constexpr std::array<unsigned, 4> not_run_statuses{408, 421, 429, 503};
// A request that starts at least this long after a node's first answer from a version must not be
// handled by an older version.
constexpr milliseconds regression_tolerance{250};
// Upper bound of the delay between the end of a process and its record.
constexpr milliseconds outage_margin{300};

bool is_not_run_status(unsigned status) {
    return std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

class checker {
public:
    checker(std::map<std::string, std::size_t> const& counts, std::vector<outage> const& downs)
        : runs(counts), outages(downs) {}

    void check(soak_record const& record) {
        auto const ran = this->count(record);
        this->require(record.is_idempotent || ran <= 1, record, "was executed more than once");
        this->require(!is_not_run_status(record.status) || ran == 0, record,
                      "was answered as not run but was executed");
        bool const is_success = record.status == 200;
        this->require(!is_success || ran >= 1, record,
                      "was answered with success but was not executed");
        this->require(record.is_matching, record, "received the answer to another request");
        bool const is_client_error = record.status >= first_failure_status && record.status < 500;
        this->require(!is_client_error || is_not_run_status(record.status) ||
                          record.needed_version > 0,
                      record, "was refused although it is valid");
        bool const is_interrupted = record.status == 0 && record.is_sent && ran > 0;
        this->require(!is_interrupted || this->was_down(record), record,
                      "was interrupted although its node was neither killed nor frozen");
    }

    // Expects the records in order of completion; compares versions per node incarnation.
    void check_versions(std::vector<soak_record> const& records) {
        struct seen_version {
            std::uint64_t version = 0;
            steady_time at;
        };
        std::map<std::pair<std::size_t, unsigned>, seen_version> newest;
        for (auto const& record : records) {
            if (record.needed_version == 0 || record.status == 0 || this->was_down(record)) {
                continue;
            }
            auto const node = std::pair(record.instance, record.incarnation);
            auto const found = newest.find(node);
            if (record.status != status_not_found) {
                if (record.status == 200 &&
                    (found == newest.end() || found->second.version < record.needed_version)) {
                    newest[node] = {record.needed_version, record.ended};
                }
                continue;
            }
            bool const regressed = found != newest.end() &&
                                   record.needed_version <= found->second.version &&
                                   record.started > found->second.at + regression_tolerance;
            this->require(!regressed, record, "was handled by an older configuration version");
        }
    }

    std::vector<std::string> violations;

private:
    std::size_t count(soak_record const& record) const {
        auto const found = this->runs.find(record.attempt);
        return found == this->runs.end() ? 0 : found->second;
    }

    bool was_down(soak_record const& record) const {
        return std::ranges::any_of(this->outages, [&](outage const& down) {
            bool const begins_before = down.started <= record.ended + outage_margin;
            bool const ends_after = !down.ended || *down.ended + outage_margin >= record.started;
            return down.instance == record.instance && begins_before && ends_after;
        });
    }

    void require(bool holds, soak_record const& record, std::string const& fault) {
        if (!holds) {
            this->violations.push_back(record.attempt + " with status " +
                                       std::to_string(record.status) + " " + fault);
        }
    }

    std::map<std::string, std::size_t> const& runs;
    std::vector<outage> const& outages;
};

} // namespace

std::vector<std::string> find_violations(std::vector<soak_record> const& records,
                                         std::map<std::string, std::size_t> const& runs,
                                         std::vector<outage> const& outages) {
    checker record_checks(runs, outages);
    for (auto const& record : records) {
        record_checks.check(record);
    }
    record_checks.check_versions(records);
    return std::move(record_checks.violations);
}

} // namespace peridot::soak
