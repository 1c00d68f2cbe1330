#pragma once

#include <cstdint>

namespace peridot {

/// A number of calls, and how many of them failed or were slow.
struct event_sample {
    std::uint64_t calls = 0;
    std::uint64_t events = 0;
};

} // namespace peridot
