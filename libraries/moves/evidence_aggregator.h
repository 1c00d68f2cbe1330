#pragma once

#include "moves/evidence_report.h"
#include "moves/route_evidence.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridot {

/// Sums the evidence of all nodes for one move on behalf of a judge. Reports are cumulative, so
/// duplicated, reordered and lost reports do not distort the totals.
class evidence_aggregator {
public:
    /// Maximum number of combinations of node, incarnation and route; bounds the memory use.
    static constexpr std::size_t maximum_sources = 65'536;
    /// A source whose first report has more calls than this was counting before this judge started.
    /// Those calls were made over a long time and at other steps, so they serve only as the
    /// starting point from which further calls are counted.
    static constexpr std::uint64_t maximum_initial_calls = 5'000;

    explicit evidence_aggregator(std::string move);
    ~evidence_aggregator();
    evidence_aggregator(evidence_aggregator&&) noexcept;
    evidence_aggregator& operator=(evidence_aggregator&&) noexcept;
    evidence_aggregator(evidence_aggregator const&) = delete;
    evidence_aggregator& operator=(evidence_aggregator const&) = delete;

    /// Adds a report and returns how many of its routes were newer than the recorded ones. Counts
    /// that decrease within an incarnation are rejected.
    std::size_t accept(evidence_report const& report);

    /// The sum over all nodes and incarnations. The counts of a node's previous incarnations are
    /// retained.
    evidence_by_route const& totals() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
