#include "moves/evidence_aggregator.h"

#include <map>
#include <tuple>

namespace peridot {

struct evidence_aggregator::implementation {
    struct source {
        std::uint64_t sequence = 0;
        route_evidence latest_counts;
    };
    using source_key = std::tuple<std::string, std::uint64_t, std::string>;

    std::string move;
    std::map<source_key, source> sources;
    evidence_by_route totals;

    bool add_source(source_key const& key, std::uint64_t sequence, route_evidence const& counts) {
        if (this->sources.size() >= maximum_sources) {
            return false;
        }
        this->sources.emplace(key, source{sequence, counts});
        auto& total = this->totals[std::get<2>(key)];
        if (counts.old_version.calls + counts.new_version.calls <= maximum_initial_calls) {
            total.old_version += counts.old_version;
            total.new_version += counts.new_version;
        }
        return true;
    }

    bool update_source(source& existing, std::string const& route, std::uint64_t sequence,
                       route_evidence const& counts) {
        if (sequence <= existing.sequence ||
            !is_valid_successor(counts.old_version, existing.latest_counts.old_version) ||
            !is_valid_successor(counts.new_version, existing.latest_counts.new_version)) {
            return false;
        }
        auto& total = this->totals[route];
        total.old_version += count_increase(counts.old_version, existing.latest_counts.old_version);
        total.new_version += count_increase(counts.new_version, existing.latest_counts.new_version);
        existing = {sequence, counts};
        return true;
    }
};

evidence_aggregator::evidence_aggregator(std::string move)
    : state(std::make_unique<implementation>()) {
    this->state->move = std::move(move);
}
evidence_aggregator::~evidence_aggregator() = default;
evidence_aggregator::evidence_aggregator(evidence_aggregator&&) noexcept = default;
evidence_aggregator& evidence_aggregator::operator=(evidence_aggregator&&) noexcept = default;

std::size_t evidence_aggregator::accept(evidence_report const& report) {
    if (report.move != this->state->move) {
        return 0;
    }
    std::size_t accepted = 0;
    for (auto const& [route, counts] : report.routes) {
        implementation::source_key const key(report.node, report.incarnation, route);
        auto const existing = this->state->sources.find(key);
        bool const is_newer =
            existing == this->state->sources.end()
                ? this->state->add_source(key, report.sequence, counts)
                : this->state->update_source(existing->second, route, report.sequence, counts);
        accepted += is_newer ? 1 : 0;
    }
    return accepted;
}

evidence_by_route const& evidence_aggregator::totals() const {
    return this->state->totals;
}

} // namespace peridot
