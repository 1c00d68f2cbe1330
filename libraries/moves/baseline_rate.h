#pragma once

#include "moves/disturbance_detector.h"
#include "moves/event_sample.h"
#include "moves/recent_rate.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// The old version's rate with which a new version is compared that has no concurrent old calls.
///
/// Answers a disturbance of both versions that is over: its rate must not be the standard for the
/// failures of the new version's next calls.
class baseline_rate {
public:
    /// Minimum number of calls for a comparison with the baseline.
    static constexpr std::uint64_t minimum_calls = 100;

    /// See disturbance_detector for the highest usual rate. Without one, the calls of a disturbance
    /// count like any others.
    explicit baseline_rate(std::optional<double> highest_usual_rate);

    /// Adds the old version's next calls.
    void observe(event_sample sample);

    /// The highest of the rate of any window, the recent rate and the rate of the latest calls. It
    /// accounts for dependencies that fail intermittently, also for one that had begun to fail when
    /// the old version got its last calls.
    double highest() const;

    /// The calls of the window with the highest rate, or of the first window until it is complete.
    event_sample highest_sample() const {
        return this->highest_window.calls > 0 ? this->highest_window : this->window;
    }

    /// Whether the rate is much higher at present than usual.
    bool is_disturbed() const { return this->disturbance.is_disturbed(); }

    /// Whether there were enough calls to judge the new version without concurrent old calls.
    bool is_usable() const { return this->observed_calls >= minimum_calls; }

private:
    bool is_left_out() const;

    bool leaves_disturbance_out;
    std::uint64_t observed_calls = 0;
    disturbance_detector disturbance;
    /// The calls that count.
    recent_rate recent;
    event_sample window;
    event_sample highest_window;
};

} // namespace peridot
