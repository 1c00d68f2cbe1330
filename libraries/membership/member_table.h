#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "membership/bucket_set.h"
#include "membership/member_update.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// A node's entry for one member.
struct member_entry {
    member_record record;
    liveness state = liveness::alive;
    /// When the current state began; for a suspect, the start of the suspicion.
    steady_time since;
    /// Members that suspect this member.
    std::set<std::string> accusers;
};

/// Effect of an update on the table.
enum class update_effect : std::uint8_t {
    /// The update was outdated, a duplicate, or about an unknown member.
    none,
    /// The member's record or liveness changed.
    changed,
    /// An additional accuser confirmed a suspicion.
    confirmed,
};

/// All members discovered by a node, including itself. Updates are ordered by incarnation, then
/// sequence, then liveness.
class member_table {
public:
    member_table(member_record own, std::size_t members_limit, steady_time now);

    /// Applies an update on another member. Updates on the node itself must not be passed.
    update_effect apply(member_update const& update, steady_time now, random_source& random);

    /// Replaces the node's own record.
    void set_own(member_record const& own, steady_time now);

    /// Returns the entry, or nullptr for an unknown member. Valid until
    /// remove_expired_tombstones().
    member_entry const* find(std::string_view instance) const;

    member_record const& own() const { return this->own_entry->record; }

    /// Returns the other present members in probe order.
    std::vector<member_entry const*> const& peers() const { return this->present_peers; }

    /// Returns the next member in round-robin order and shuffles after each round; nullptr if there
    /// are no peers.
    member_entry const* next_in_round(random_source& random);

    /// Returns up to `count` distinct random peers, excluding `except`.
    std::vector<member_entry const*> choose_peers(std::size_t count, std::string_view except,
                                                  random_source& random) const;

    /// Returns a random dead member to probe for recovery; nullptr if there is none.
    member_entry const* choose_dead(random_source& random) const;

    /// Returns the instance names of all suspects.
    std::set<std::string> const& suspects() const { return this->suspect_names; }

    /// Restarts the timeouts of all suspicions after this process was frozen.
    void restart_suspicions(steady_time now);

    /// Removes members that have been dead or left for longer than `after`.
    void remove_expired_tombstones(steady_time now, seconds after);

    /// Returns an order-independent digest of the present members of each bucket.
    std::vector<std::uint32_t> bucket_digests() const;

    /// Returns the digest of the whole table; never zero.
    std::uint64_t digest() const;

    /// Returns the present members, including the node itself.
    std::vector<member_record> present() const;

    /// Calls the visitor with each entry of the buckets after the cursor, ordered by instance name,
    /// until it returns false.
    void visit(bucket_set const& buckets, std::string_view after,
               std::function<bool(member_entry const&)> const& visitor) const;

private:
    using entry_map = std::map<std::string, member_entry, std::less<>>;

    update_effect insert(member_update const& update, steady_time now, random_source& random);
    bool ensure_capacity();
    void transition(member_entry& entry, liveness next, steady_time now, random_source& random);
    void add_peer(member_entry const& entry, random_source& random);
    void remove_peer(member_entry const& entry);
    void toggle_digest(member_entry const& entry);

    entry_map entries;
    member_entry* own_entry = nullptr;
    std::size_t limit;
    std::vector<member_entry const*> present_peers;
    std::size_t round_position = 0;
    std::set<std::string> suspect_names;
    std::set<std::string> dead_names;
    std::array<std::uint64_t, digest_buckets> digests{};
};

} // namespace peridot
