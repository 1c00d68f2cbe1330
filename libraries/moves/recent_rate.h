#pragma once

#include "moves/event_sample.h"

namespace peridot {

/// Estimates a rate from recent calls; earlier ones count less. Before any calls, the estimate is a
/// low rate that is usual for failures.
class recent_rate {
public:
    void add(event_sample sample);

    /// The rate, which is greater than 0 and less than 1.
    double value() const;

    /// Returns the rate within the range of value(), so that its logarithms are finite.
    static double limit(double rate);

private:
    double calls = 0;
    double events = 0;
};

} // namespace peridot
