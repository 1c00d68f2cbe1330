#pragma once

#include "core/time.h"
#include "moves/take_back_reason.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// The record of a take-back: who decided it, when, and on which evidence.
struct take_back {
    /// Longer names of the setter are truncated to bound the size of a datagram.
    static constexpr std::size_t maximum_setter_length = 16;

    milliseconds at_since_epoch{0};
    std::string setter;
    take_back_reason reason = take_back_reason::failures;
    /// Fingerprint of the route's name; zero if the decision is based on all routes together.
    std::uint32_t route = 0;
    /// Calls of each version in the evidence, and its failures or slow calls depending on the
    /// reason.
    std::uint64_t old_calls = 0;
    std::uint64_t old_events = 0;
    std::uint64_t new_calls = 0;
    std::uint64_t new_events = 0;

    bool operator==(take_back const&) const = default;
};

/// The fingerprint that identifies a route in take-backs.
std::uint32_t route_fingerprint(std::string_view route);

/// Describes the reason of the take-back and its evidence in a phrase for operators.
std::string describe(take_back const& decision);

} // namespace peridot
