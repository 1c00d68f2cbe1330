#pragma once

#include "moves/default_ramp.h"
#include "moves/move_plan.h"

namespace peridot {

/// A valid plan of a ten-minute move with a watch time of two minutes.
inline move_plan example_plan() {
    move_plan plan;
    plan.id = "payouts-2026-12-04-a";
    plan.service = "payouts";
    plan.from = "v1";
    plan.to = "v2";
    plan.start = wall_time(seconds(1'800'000'000));
    plan.done_by = plan.start + seconds(600);
    plan.ramp = default_ramp(plan.start, plan.done_by);
    plan.watch = seconds(120);
    return plan;
}

} // namespace peridot
