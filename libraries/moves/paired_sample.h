#pragma once

#include "moves/event_sample.h"

namespace peridot {

/// Calls to both versions in the same period, and how many of them failed or were slow.
struct paired_sample {
    event_sample old_version;
    event_sample new_version;
};

/// Adds each count of the right operand to the left.
paired_sample& operator+=(paired_sample& left, paired_sample const& right);

} // namespace peridot
