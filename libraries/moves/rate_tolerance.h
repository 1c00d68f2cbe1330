#pragma once

namespace peridot {

/// Defines the highest acceptable rate relative to a reference rate: ratio times the reference plus
/// offset.
struct rate_tolerance {
    double ratio = 1;
    double offset = 0;

    /// The highest acceptable rate for a reference rate.
    double maximum_rate(double reference) const {
        double const rate = this->ratio * reference + this->offset;
        return rate < 1 ? rate : 1;
    }
};

} // namespace peridot
