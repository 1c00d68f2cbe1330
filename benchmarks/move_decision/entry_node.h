#pragma once

#include "moves/evidence_counter.h"
#include "moves/local_suspicion.h"
#include "moves/move_state.h"
#include "moves/report_policy.h"

#include <cstdint>
#include <string>

namespace peridot::move_decision {

/// A node that receives calls: its counts, its reports and its replica of the move's state.
struct entry_node {
    std::string name;
    evidence_by_route counts;
    report_policy policy;
    local_suspicion suspicion;
    move_state state;
    std::uint64_t sequence = 0;
    std::uint64_t sent_bytes = 0;
};

} // namespace peridot::move_decision
