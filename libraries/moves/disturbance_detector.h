#pragma once

#include "moves/event_sample.h"

#include <cstdint>

namespace peridot {

/// Detects that the old version's rate is much higher than usual.
///
/// Answers a disturbance that raises the rate of both versions for a while, such as a failing
/// dependency. The usual rate is the lowest one of any block of calls, so a disturbance does not
/// become the usual state while it lasts.
class disturbance_detector {
public:
    /// A rate above the given one does not count as usual, also if the old version never had a
    /// lower one.
    explicit disturbance_detector(double highest_usual_rate);

    /// Adds the old version's next calls.
    void observe(event_sample sample);

    bool is_disturbed() const { return this->is_rate_high; }

    /// Whether there were enough calls to notice a disturbance.
    bool has_enough_calls() const;

    /// The rate of the latest calls; 0 while there are too few of them.
    double latest_rate() const;

private:
    /// Calls and events that count less the more calls follow.
    struct decaying_sample {
        double calls = 0;
        double events = 0;

        void add(event_sample sample, double window_calls);
        double rate() const;
    };

    double usual_rate() const;
    double slow_latest_rate() const;
    void add_to_block(event_sample sample);

    double highest_usual_rate;
    double lowest_block_rate = 1;
    event_sample block;
    decaying_sample latest;
    /// Decays over fewer calls and shows the end of a disturbance sooner.
    decaying_sample newest;
    bool is_rate_high = false;
};

} // namespace peridot
