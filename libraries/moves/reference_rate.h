#pragma once

#include "moves/event_sample.h"

#include <cstdint>

namespace peridot {

/// What the old version's rate was so far. It is known before each block and so may enter the
/// block's e-value.
class reference_rate {
public:
    /// Fewer calls say too little to judge a version against them alone.
    static constexpr std::uint64_t minimum_calls = 100;

    /// Takes in a block of the old version's calls.
    void add(event_sample sample);

    /// The recent rate; never 0 or 1.
    double recent() const;

    /// The highest rate of a window so far, or the recent one if it is higher. A dependency that
    /// fails now and then shows here.
    double highest() const;

    /// The calls of the window with the highest rate; those of the first one while it is not full.
    event_sample highest_sample() const {
        return this->highest_window.calls > 0 ? this->highest_window : this->window;
    }

    /// Whether enough calls were seen to judge without an old version beside the new one.
    bool is_usable() const { return this->observed_calls >= minimum_calls; }

private:
    std::uint64_t observed_calls = 0;
    double recent_calls = 0;
    double recent_events = 0;
    event_sample window;
    event_sample highest_window;
};

} // namespace peridot
