#pragma once

#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// What a node tells others of its configuration: the version it holds and can serve, and how long
/// ago the platform confirmed it.
struct head_announcement {
    /// 0 while no version is held.
    std::uint64_t version = 0;
    std::string manifest_hash;
    /// No value if no confirmation is known.
    std::optional<milliseconds> confirmation_age;

    bool operator==(head_announcement const&) const = default;
};

/// The bytes of the attachment in a membership datagram.
std::string encode(head_announcement const& announcement);

/// Reads untrusted bytes; head_malformed if they are no announcement.
result<head_announcement> decode_head_announcement(std::string_view bytes);

} // namespace peridot
