#include "moves/default_ramp.h"

#include <array>

namespace peridot {

std::vector<ramp_step> default_ramp(wall_time start, wall_time done_by) {
    struct proportion {
        double share;
        /// Percentage of the time between the start and the deadline.
        int percent;
    };
    // The first step lasts longer than the judge's warm-up period (at most 10 % of the time), so
    // all tests run against a bad version while it still receives 1 % of the requests.
    constexpr std::array<proportion, 5> proportions = {
        {{0.01, 0}, {0.05, 15}, {0.2, 30}, {0.5, 50}, {1, 70}}};
    auto const duration =
        std::chrono::duration_cast<milliseconds>(std::max(done_by, start) - start);
    std::vector<ramp_step> ramp;
    ramp.reserve(proportions.size());
    for (auto const& step : proportions) {
        ramp.push_back({step.share, start + duration / 100 * step.percent});
    }
    return ramp;
}

} // namespace peridot
