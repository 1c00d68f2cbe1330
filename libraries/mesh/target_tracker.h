#pragma once

#include "mesh/target_record.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// What an announcement changed.
enum class target_change : std::uint8_t {
    /// Nothing that anybody routes by.
    none,
    /// The target, or what it says of itself, is new.
    updated,
    /// The announcement does not concern the target beside this node, or is older than what is
    /// known.
    ignored,
};

/// Keeps the newest announcement of the target beside the node.
///
/// Announcements arrive late, twice and out of order, also from a target that ran at the address
/// before. The start time of the process decides first, then the number of the announcement. A
/// target that has said that it leaves does not come back within the same process.
class target_tracker {
public:
    target_tracker(std::string address, std::string service);

    target_change announce(target_record const& announced);
    /// The target leaves at once. Without a start time the id alone decides. A target that is not
    /// known yet is taken to leave as soon as it is, since a restarted node hears of it late.
    target_change deregister(std::string_view id, std::optional<std::int64_t> started_ms);

    /// Takes over what an earlier process of the node had recorded, unless something newer is
    /// known.
    target_change restore(target_record const& recorded);

    std::optional<target_record> const& current() const { return this->latest; }

private:
    /// A target that has left, as it said it.
    struct deregistration {
        std::string id;
        std::optional<std::int64_t> started_ms;
    };

    bool is_older(target_record const& announced) const;
    bool is_deregistered(target_record const& announced) const;

    std::string address;
    std::string service;
    std::optional<target_record> latest;
    std::deque<deregistration> deregistrations;
};

} // namespace peridot
