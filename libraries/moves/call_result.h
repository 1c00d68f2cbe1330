#pragma once

#include "core/time.h"
#include "moves/call_attempt.h"
#include "moves/call_outcome.h"
#include "moves/target_side.h"

#include <cstdint>

namespace peridot {

/// A completed call to a service with a move in progress.
struct call_result {
    /// Calls at or above this pressure are counted as made under load.
    static constexpr std::uint8_t high_pressure = 70;

    target_side side = target_side::old_version;
    call_attempt attempt = call_attempt::first;
    call_outcome outcome = call_outcome::succeeded;
    microseconds latency{0};
    /// Value of the response's Peridot-Pressure header, 0 to 100.
    std::uint8_t pressure = 0;
};

} // namespace peridot
