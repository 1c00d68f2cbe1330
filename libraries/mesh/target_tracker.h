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
    /// The target is not used before the record of the node's earlier process is known.
    deferred,
    /// The announcement is not from this node's target or is older than the current record.
    ignored,
};

/// Keeps the newest announcement of the node's target.
///
/// Announcements may arrive late, repeatedly and out of order, and also from an earlier target at
/// the same address. They are ordered by the start time of the process first and by sequence number
/// second. A target that has announced its shutdown does not become ready again within the same
/// process.
///
/// An earlier process of the node may have acknowledged that the target leaves. A heartbeat from
/// before that may arrive at this process, so a target that announces itself is used only once the
/// record of the earlier process has been read, or is known not to exist.
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

    /// Merges the record of the node's target that was read. A target that is recorded as leaving
    /// does not become ready again, and one that started later replaces the announced one.
    /// A target that is recorded as in service is only awaited until it announces itself after
    /// that: the earlier process may have acknowledged that it leaves, without being able to record
    /// it, and a single deferred announcement may be from before the leaving.
    target_change restore(target_record const& recorded);

    /// Notes that no earlier process has recorded a target of this node.
    target_change confirm_unrecorded();

    /// The target to use; no value while it is awaited or deferred.
    std::optional<target_record> const& current() const { return this->latest; }
    /// The recorded target that has not announced itself to this process.
    std::optional<target_record> const& awaited() const { return this->unconfirmed; }

private:
    /// A deregistration as the target sent it.
    struct deregistration {
        std::string id;
        std::optional<std::int64_t> started_ms;
    };

    std::optional<target_record> const& newest() const;
    bool is_older(target_record const& announced) const;
    bool is_deregistered(target_record const& announced) const;
    target_change use(target_record next);
    target_change use_deferred();
    target_change merge(target_record const& restored);
    target_change await_or_use(target_record restored);

    std::string address;
    std::string service;
    std::optional<target_record> latest;
    std::optional<target_record> unconfirmed;
    /// A target in service that has announced itself before the record was known.
    std::optional<target_record> deferred;
    /// Whether it has announced itself more than once, which one late heartbeat does not.
    bool is_deferred_repeatedly = false;
    bool is_record_known = false;
    std::deque<deregistration> deregistrations;
};

} // namespace peridot
