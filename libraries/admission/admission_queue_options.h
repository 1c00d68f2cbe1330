#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace peridot {

/// Bound on the time that a request may spend in the admission queue.
enum class queue_bound : std::uint8_t {
    /// Until its deadline can no longer be met.
    deadline,
    /// In addition at most delay_interval, or only delay_target once the queue has not been empty
    /// and its delay has exceeded delay_target for a whole interval (controlled delay).
    controlled_delay,
};

/// Options of the admission queue.
struct admission_queue_options {
    std::size_t capacity = 200;
    queue_bound bound = queue_bound::controlled_delay;
    /// Acceptable queue delay: about half a service time.
    milliseconds delay_target{5};
    milliseconds delay_interval{100};
};

} // namespace peridot
