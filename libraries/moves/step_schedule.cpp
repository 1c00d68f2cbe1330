#include "moves/step_schedule.h"

#include <algorithm>

namespace peridot {

wall_time latest_step_time(move_plan const& plan, std::size_t step) {
    constexpr double last_step_fraction = 0.95;
    auto const earliest = plan.ramp[step].earliest;
    auto const ramp_time = plan.ramp.back().earliest - plan.start;
    if (ramp_time <= wall_time::duration(0)) {
        return earliest;
    }
    double const fraction = std::chrono::duration<double>(earliest - plan.start) /
                            std::chrono::duration<double>(ramp_time);
    auto const stretched =
        std::chrono::duration<double>(plan.done_by - plan.start) * (last_step_fraction * fraction);
    return std::max(earliest,
                    plan.start + std::chrono::duration_cast<wall_time::duration>(stretched));
}

} // namespace peridot
