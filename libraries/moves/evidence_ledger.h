#pragma once

#include "moves/evidence_report.h"
#include "moves/route_evidence.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridot {

/// A judge's sum of the evidence of all nodes for one move. Reports are cumulative, so repeated,
/// reordered and lost ones are harmless.
class evidence_ledger {
public:
    /// Bounds the memory against reports that never end: nodes times incarnations times routes.
    static constexpr std::size_t maximum_sources = 65'536;
    /// A source that is first heard of with more calls than this was counted before this judge
    /// began. Those calls spread over a long time and other steps, so they are only the base from
    /// which its calls are counted.
    static constexpr std::uint64_t maximum_initial_calls = 5'000;

    explicit evidence_ledger(std::string move);
    ~evidence_ledger();
    evidence_ledger(evidence_ledger&&) noexcept;
    evidence_ledger& operator=(evidence_ledger&&) noexcept;
    evidence_ledger(evidence_ledger const&) = delete;
    evidence_ledger& operator=(evidence_ledger const&) = delete;

    /// Takes a report in. Returns how many routes were newer than what was known; counts that go
    /// back within an incarnation are refused.
    std::size_t accept(evidence_report const& report);

    /// The sum over nodes and incarnations. A node's former incarnations keep their counts.
    evidence_by_route const& totals() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
