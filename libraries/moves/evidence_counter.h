#pragma once

#include "moves/call_result.h"
#include "moves/route_evidence.h"

#include <cstddef>
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

    /// Counts a call that has ended, unless it is a retry or its outcome is not attributable to the
    /// target. Route names that exceed the maximum length are truncated.
    void record(std::string_view route, call_result const& call);

    /// Counts a call that is in progress in the buckets that it has reached since it was last
    /// counted: from the first given one to the one before the second. The buckets of a call in
    /// progress are not counted again by the second form of record().
    void record_progress(std::string_view route, target_side side, std::size_t first,
                         std::size_t end);
    void record(std::string_view route, call_result const& call, std::size_t counted_buckets);

    /// Adds the counts of another counter, such as a worker's.
    void add(evidence_by_route const& counts);

    /// The counts since the counter was constructed.
    evidence_by_route const& counts() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
