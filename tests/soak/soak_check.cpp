#include "soak/soak_check.h"

#include <algorithm>
#include <array>

namespace peridot::soak {

namespace {

constexpr unsigned first_failure_status = 400;
constexpr unsigned status_not_found = 404;
// Statuses that promise that the request has not run and never will.
constexpr std::array<unsigned, 4> not_run_statuses{408, 421, 429, 503};
// Between a node's first answer by a version and a request that must not be handled by an older
// one.
constexpr milliseconds regression_tolerance{250};
// An end of the process is noticed this long after it at most.
constexpr milliseconds outage_margin{300};

bool says_not_run(unsigned status) {
    return std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

class checker {
public:
    checker(std::map<std::string, std::size_t> const& counts, std::vector<outage> const& downs)
        : runs(counts), outages(downs) {}

    void check(soak_record const& record) {
        auto const ran = this->count(record);
        this->require(record.is_idempotent || ran <= 1, record, "ran more than once");
        this->require(!says_not_run(record.status) || ran == 0, record,
                      "was answered as not run and has run");
        bool const is_success = record.status == 200;
        this->require(!is_success || ran >= 1, record, "was answered and has not run");
        this->require(record.belongs, record, "got the answer of another request");
        bool const is_own_refusal = record.status >= first_failure_status && record.status < 500;
        this->require(!is_own_refusal || says_not_run(record.status) || record.needed_version > 0,
                      record, "was refused though it is proper");
        bool const is_cut = record.status == 0 && record.is_sent && ran > 0;
        this->require(!is_cut || this->was_down(record), record,
                      "was cut off though its node was neither killed nor frozen");
    }

    // Requests of one node, in the order in which they ended.
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
                                   record.begun > found->second.at + regression_tolerance;
            this->require(!regressed, record, "was handled by an older configuration");
        }
    }

    std::vector<std::string> broken;

private:
    std::size_t count(soak_record const& record) const {
        auto const found = this->runs.find(record.attempt);
        return found == this->runs.end() ? 0 : found->second;
    }

    bool was_down(soak_record const& record) const {
        return std::ranges::any_of(this->outages, [&](outage const& down) {
            bool const begins_before = down.begun <= record.ended + outage_margin;
            bool const ends_after = !down.ended || *down.ended + outage_margin >= record.begun;
            return down.instance == record.instance && begins_before && ends_after;
        });
    }

    void require(bool holds, soak_record const& record, std::string const& fault) {
        if (!holds) {
            this->broken.push_back(record.attempt + " with status " +
                                   std::to_string(record.status) + " " + fault);
        }
    }

    std::map<std::string, std::size_t> const& runs;
    std::vector<outage> const& outages;
};

} // namespace

std::vector<std::string> find_broken_promises(std::vector<soak_record> const& records,
                                              std::map<std::string, std::size_t> const& runs,
                                              std::vector<outage> const& outages) {
    checker promises(runs, outages);
    for (auto const& record : records) {
        promises.check(record);
    }
    promises.check_versions(records);
    return std::move(promises.broken);
}

} // namespace peridot::soak
