#include "membership/member_table.h"

#include "core/digest.h"

#include <algorithm>
#include <iterator>

namespace peridot {

namespace {

std::size_t bucket_of(std::string_view instance) {
    return fingerprint(instance) % digest_buckets;
}

std::uint64_t entry_digest(member_record const& record) {
    std::array<std::uint64_t, 2> const version{record.incarnation, record.sequence};
    std::string_view const bytes(reinterpret_cast<char const*>(version.data()), sizeof version);
    return fingerprint(record.instance, fingerprint(bytes));
}

// Owners increment their sequence in small steps; a larger jump means a corrupt or forged update.
constexpr std::uint64_t sequence_step_limit = 1'000'000;

// A claim applies to one record version and is ignored until that record is held. Only a death
// within the same incarnation may be newer than the held record.
bool is_plausible(member_update const& update, member_record const& held) {
    if (update.record.incarnation == held.incarnation) {
        return update.record.sequence <= held.sequence + sequence_step_limit;
    }
    return has_details(update);
}

bool is_same_version(member_record const& left, member_record const& right) {
    return left.incarnation == right.incarnation && left.sequence == right.sequence;
}

std::size_t random_index(std::size_t size, random_source& random) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

} // namespace

member_table::member_table(member_record own, std::size_t members_limit, steady_time now)
    : limit(members_limit) {
    std::string const name = own.instance;
    this->own_entry = &this->entries[name];
    this->own_entry->record = std::move(own);
    this->own_entry->since = now;
    this->toggle_digest(*this->own_entry);
}

void member_table::set_own(member_record const& own, steady_time now) {
    member_entry& entry = *this->own_entry;
    this->toggle_digest(entry);
    entry.record = own;
    entry.state = own.state == member_state::left ? liveness::left : liveness::alive;
    entry.since = now;
    this->toggle_digest(entry);
}

update_effect member_table::apply(member_update const& update, steady_time now,
                                  random_source& random) {
    auto const found = this->entries.find(update.record.instance);
    if (found == this->entries.end()) {
        return this->insert(update, now, random);
    }
    member_entry& entry = found->second;
    bool const is_newer = supersedes(update.record, entry.record);
    if ((!is_newer && !is_same_version(update.record, entry.record)) ||
        !is_plausible(update, entry.record)) {
        return update_effect::none;
    }
    if (!is_newer && update.state <= entry.state) {
        bool const confirms = update.state == liveness::suspect && entry.state == liveness::suspect;
        return confirms && entry.accusers.insert(update.accuser).second ? update_effect::confirmed
                                                                        : update_effect::none;
    }
    // A suspicion of a newer version is ignored until the record of that version is held.
    if (is_newer && !has_details(update) && update.state != liveness::dead) {
        return update_effect::none;
    }
    this->toggle_digest(entry);
    if (is_newer && has_details(update)) {
        entry.record = update.record;
    } else if (is_newer) {
        entry.record.incarnation = update.record.incarnation;
        entry.record.sequence = update.record.sequence;
    }
    this->toggle_digest(entry);
    this->transition(entry, update.state, now - update.gone_for, random);
    if (update.state == liveness::suspect) {
        entry.accusers.insert(update.accuser);
    }
    return update_effect::changed;
}

update_effect member_table::insert(member_update const& update, steady_time now,
                                   random_source& random) {
    if (!has_details(update) || !this->ensure_capacity()) {
        return update_effect::none;
    }
    member_entry& entry = this->entries[update.record.instance];
    entry.record = update.record;
    // The initial state is absent, so that transition() adds the entry to the indexes.
    entry.state = liveness::left;
    this->transition(entry, update.state, now - update.gone_for, random);
    if (update.state == liveness::suspect) {
        entry.accusers.insert(update.accuser);
    }
    return update_effect::changed;
}

bool member_table::ensure_capacity() {
    if (this->entries.size() < this->limit) {
        return true;
    }
    auto oldest = this->entries.end();
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (!is_present(entry->second.state) && &entry->second != this->own_entry &&
            (oldest == this->entries.end() || entry->second.since < oldest->second.since)) {
            oldest = entry;
        }
    }
    if (oldest == this->entries.end()) {
        return false;
    }
    this->dead_names.erase(oldest->first);
    this->entries.erase(oldest);
    return true;
}

void member_table::transition(member_entry& entry, liveness next, steady_time now,
                              random_source& random) {
    liveness const before = entry.state;
    std::string const& name = entry.record.instance;
    if (is_present(before) && !is_present(next)) {
        this->toggle_digest(entry);
        this->remove_peer(entry);
    }
    entry.state = next;
    entry.since = now;
    entry.accusers.clear();
    if (!is_present(before) && is_present(next)) {
        this->toggle_digest(entry);
        this->add_peer(entry, random);
    }
    next == liveness::suspect ? (void)this->suspect_names.insert(name)
                              : (void)this->suspect_names.erase(name);
    next == liveness::dead ? (void)this->dead_names.insert(name)
                           : (void)this->dead_names.erase(name);
}

void member_table::add_peer(member_entry const& entry, random_source& random) {
    // A random position bounds the time to the first probe of a new member by one round.
    std::size_t const index = random_index(this->present_peers.size() + 1, random);
    this->present_peers.insert(
        std::next(this->present_peers.begin(), static_cast<std::ptrdiff_t>(index)), &entry);
    if (index < this->round_position) {
        ++this->round_position;
    }
}

void member_table::remove_peer(member_entry const& entry) {
    auto const found = std::find(this->present_peers.begin(), this->present_peers.end(), &entry);
    auto const index = static_cast<std::size_t>(found - this->present_peers.begin());
    this->present_peers.erase(found);
    if (index < this->round_position) {
        --this->round_position;
    }
}

// Adds a present member to its bucket's digest, or removes it if it is already included.
void member_table::toggle_digest(member_entry const& entry) {
    if (is_present(entry.state)) {
        this->digests[bucket_of(entry.record.instance)] ^= entry_digest(entry.record);
    }
}

std::vector<std::uint32_t> member_table::bucket_digests() const {
    std::vector<std::uint32_t> shortened;
    shortened.reserve(digest_buckets);
    for (std::uint64_t const digest : this->digests) {
        shortened.push_back(static_cast<std::uint32_t>(digest));
    }
    return shortened;
}

std::uint64_t member_table::digest() const {
    std::string_view const bytes(reinterpret_cast<char const*>(this->digests.data()),
                                 sizeof this->digests);
    return std::max<std::uint64_t>(1, fingerprint(bytes));
}

member_entry const* member_table::find(std::string_view instance) const {
    auto const found = this->entries.find(instance);
    return found == this->entries.end() ? nullptr : &found->second;
}

member_entry const* member_table::next_in_round(random_source& random) {
    if (this->present_peers.empty()) {
        return nullptr;
    }
    if (this->round_position >= this->present_peers.size()) {
        std::shuffle(this->present_peers.begin(), this->present_peers.end(), random);
        this->round_position = 0;
    }
    return this->present_peers[this->round_position++];
}

std::vector<member_entry const*> member_table::choose_peers(std::size_t count,
                                                            std::string_view except,
                                                            random_source& random) const {
    std::vector<member_entry const*> chosen;
    // Extra draws compensate for duplicates; in a small fleet fewer peers may be found.
    for (std::size_t draw = 0; draw < count * 4 && chosen.size() < count; ++draw) {
        if (this->present_peers.empty()) {
            break;
        }
        auto const* const peer =
            this->present_peers[random_index(this->present_peers.size(), random)];
        if (peer->record.instance != except &&
            std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
            chosen.push_back(peer);
        }
    }
    return chosen;
}

member_entry const* member_table::choose_dead(random_source& random) const {
    if (this->dead_names.empty()) {
        return nullptr;
    }
    auto const chosen =
        std::next(this->dead_names.begin(),
                  static_cast<std::ptrdiff_t>(random_index(this->dead_names.size(), random)));
    return this->find(*chosen);
}

void member_table::restart_suspicions(steady_time now) {
    for (auto const& name : this->suspect_names) {
        this->entries.find(name)->second.since = now;
    }
}

void member_table::remove_expired_tombstones(steady_time now, seconds after) {
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        bool const is_expired = !is_present(entry->second.state) &&
                                &entry->second != this->own_entry &&
                                now - entry->second.since > after;
        if (is_expired) {
            this->dead_names.erase(entry->first);
        }
        entry = is_expired ? this->entries.erase(entry) : std::next(entry);
    }
}

std::vector<member_record> member_table::present() const {
    std::vector<member_record> records;
    records.reserve(this->present_peers.size() + 1);
    if (is_present(this->own_entry->state)) {
        records.push_back(this->own_entry->record);
    }
    for (auto const* const peer : this->present_peers) {
        records.push_back(peer->record);
    }
    return records;
}

void member_table::visit(bucket_set const& buckets, std::string_view after,
                         std::function<bool(member_entry const&)> const& visitor) const {
    auto position = after.empty() ? this->entries.begin() : this->entries.upper_bound(after);
    for (; position != this->entries.end(); ++position) {
        bool const is_selected = buckets[bucket_of(position->first)];
        if (is_selected && !visitor(position->second)) {
            return;
        }
    }
}

} // namespace peridot
