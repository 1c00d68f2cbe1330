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

/// What a node holds on one member.
struct member_entry {
    member_record record;
    liveness state = liveness::alive;
    /// Since when the state holds; start of the suspicion.
    steady_time since;
    /// Who suspects the member.
    std::set<std::string> accusers;
};

/// What an update did to the table.
enum class update_effect : std::uint8_t {
    /// Old, known, or about a stranger.
    none,
    /// The member's record or liveness is new.
    changed,
    /// A further accuser confirms a suspicion.
    confirmed,
};

/// All members that a node knows of, itself included, with the order of updates: incarnation, then
/// sequence, then liveness.
class member_table {
public:
    member_table(member_record own, std::size_t members_limit, steady_time now);

    /// Applies an update on another member. Updates on the node itself are not for the table.
    update_effect apply(member_update const& update, steady_time now, random_source& random);

    /// Replaces the node's own record.
    void set_own(member_record const& own, steady_time now);

    /// The held entry; nullptr for a stranger. Valid until remove_expired_tombstones().
    member_entry const* find(std::string_view instance) const;

    member_record const& own() const { return this->own_entry->record; }

    /// The other members that are present, in the order in which they are probed.
    std::vector<member_entry const*> const& peers() const { return this->present_peers; }

    /// The next member in round-robin order; shuffles after each round. nullptr if alone.
    member_entry const* next_in_round(random_source& random);

    /// Up to `count` different random peers other than the one named.
    std::vector<member_entry const*> choose_peers(std::size_t count, std::string_view except,
                                                  random_source& random) const;

    /// A random dead member, to see whether it is back; nullptr if none.
    member_entry const* choose_dead(random_source& random) const;

    /// The names of all suspects.
    std::set<std::string> const& suspects() const { return this->suspect_names; }

    /// Restarts all suspicions, after this process was stopped.
    void restart_suspicions(steady_time now);

    /// Forgets members that have been gone for longer than `after`.
    void remove_expired_tombstones(steady_time now, seconds after);

    /// Order-independent digests of the members that are present, by bucket.
    std::vector<std::uint32_t> bucket_digests() const;

    /// Digest of the whole table; never zero.
    std::uint64_t digest() const;

    /// Present members, the node itself included.
    std::vector<member_record> present() const;

    /// Calls the visitor with each entry of the buckets after the cursor, in order of names, until
    /// it returns false.
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
