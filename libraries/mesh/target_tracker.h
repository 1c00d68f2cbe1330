#pragma once

#include "mesh/target_record.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// Effect of an announcement.
enum class target_change : std::uint8_t {
    /// No change that affects routing.
    none,
    /// The target is new or has announced different properties.
    updated,
    /// The announcement is not from this node's target or is older than the current record.
    ignored,
};

/// Keeps the newest announcement of the node's target.
///
/// Announcements may arrive late, repeatedly and out of order, and also from an earlier target at
/// the same address. They are ordered by the start time of the process first and by sequence number
/// second. A target that has announced its shutdown does not become ready again within the same
/// process.
class target_tracker {
public:
    target_tracker(std::string address, std::string service);

    target_change announce(target_record const& announced);
    /// Marks the target as gone. Without a start time, only the id is compared. The call also
    /// applies to a target whose record is read later, since a restarted node may get the
    /// deregistration before the record.
    target_change deregister(std::string_view id, std::optional<std::int64_t> started_ms);

    /// Applies a state that the node has observed: draining, as the target has stated in a
    /// response; unreachable; or ready for one that was unreachable.
    target_change observe(target_record const& target);

    /// Restores the record written by an earlier process of the node, unless a newer one is known.
    /// A target that is recorded as in service is only awaited until it announces itself: the
    /// earlier process may have acknowledged that it leaves, without being able to record it.
    target_change restore(target_record const& recorded);

    std::optional<target_record> const& current() const { return this->latest; }
    /// The recorded target that has not announced itself to this process.
    std::optional<target_record> const& awaited() const { return this->unconfirmed; }

private:
    /// A deregistration as the target sent it.
    struct deregistration {
        std::string id;
        std::optional<std::int64_t> started_ms;
    };

    bool is_older(target_record const& announced) const;
    bool is_deregistered(target_record const& announced) const;

    std::string address;
    std::string service;
    std::optional<target_record> latest;
    std::optional<target_record> unconfirmed;
    std::deque<deregistration> deregistrations;
};

} // namespace peridot
