#pragma once

#include "moves/event_sample.h"

#include <cstdint>

namespace peridot {

/// Estimates the old version's rate from earlier blocks. The estimate does not depend on the
/// current block and may therefore be used in the block's e-value.
class reference_rate {
public:
    /// Minimum number of calls for a comparison with the reference rate alone.
    static constexpr std::uint64_t minimum_calls = 100;

    /// Adds a block of the old version's calls.
    void add(event_sample sample);

    /// The recent rate, which is greater than 0 and less than 1.
    double recent() const;

    /// The highest of the rate of any window so far, the recent rate and the rate of the latest
    /// calls. It accounts for dependencies that fail intermittently, also for one that had begun to
    /// fail when the old version got its last calls.
    double highest() const;

    /// The calls of the window with the highest rate, or of the first window until it is complete.
    event_sample highest_sample() const {
        return this->highest_window.calls > 0 ? this->highest_window : this->window;
    }

    /// Whether the latest calls have a much higher rate than the recent ones.
    bool is_disturbed() const;

    /// Whether there were enough calls to judge the new version without concurrent old calls.
    bool is_usable() const { return this->observed_calls >= minimum_calls; }

private:
    double latest() const;

    std::uint64_t observed_calls = 0;
    double recent_calls = 0;
    double recent_events = 0;
    /// Calls and events with an exponential decay over few calls.
    double latest_calls = 0;
    double latest_events = 0;
    event_sample window;
    event_sample highest_window;
};

} // namespace peridot
