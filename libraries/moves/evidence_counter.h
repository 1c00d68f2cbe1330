#pragma once

#include "moves/call_result.h"
#include "moves/route_evidence.h"

#include <memory>
#include <string_view>

namespace peridot {

/// Counts a node's calls for one move. Each worker has a counter; the control thread sums them.
class evidence_counter {
public:
    evidence_counter();
    ~evidence_counter();
    evidence_counter(evidence_counter&&) noexcept;
    evidence_counter& operator=(evidence_counter&&) noexcept;
    evidence_counter(evidence_counter const&) = delete;
    evidence_counter& operator=(evidence_counter const&) = delete;

    /// Counts a call, unless it is a retry or its outcome is not attributable to the target. Route
    /// names that exceed the maximum length are truncated.
    void record(std::string_view route, call_result const& call);

    /// Adds the counts of another counter, such as a worker's.
    void add(evidence_by_route const& counts);

    /// The counts since the counter was constructed.
    evidence_by_route const& counts() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
