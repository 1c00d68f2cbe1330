#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// The parameters of a judge's decisions.
struct judge_settings {
    /// Maximum probability that one judge takes back an acceptable version over a whole move.
    double false_alarm_rate = 0.002;
    /// Time after its first call during which a new version may be slow or fail moderately. It is
    /// limited to the duration of the move divided by warm_up_divisor.
    seconds warm_up{30};
    int warm_up_divisor = 10;
    /// Calls to the new version that a step requires before the next one is allowed. A version that
    /// fails in 5 % of its calls is detected within about 200 calls.
    std::uint64_t minimum_calls_per_step = 300;
    /// Minimum duration of a step. Reports take about a second to arrive. A step lasts longer if it
    /// takes longer to know whether a call is slow.
    seconds minimum_step_time{5};
    /// Time between the last step and the deadline that is kept free at least for the completion of
    /// the move; zero for moves that are complete with their last step. The earlier steps of a move
    /// with a completion time do not wait for evidence, since their shares are limited by the calls
    /// that a bad version may get. Their last step waits until the old version does not fail more
    /// often than usual, or until the deadline has passed.
    milliseconds completion_time{0};
    /// While the e-value is at or above this, the step is not raised.
    double hold_threshold = 20;
    /// The same for the last step, after which the old version gets no requests for a comparison,
    /// and for the end of a move whose old targets stop.
    double last_hold_threshold = 20;
    /// Whether a move that has reached its last step is no longer judged after its watch time. The
    /// false-alarm rate applies to each span of the planned duration if judging continues.
    bool ends_after_watch = true;
};

} // namespace peridot
