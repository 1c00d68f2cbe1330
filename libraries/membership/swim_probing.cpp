#include "membership/datagram_codec.h"
#include "membership/suspicion.h"
#include "membership/swim_implementation.h"

#include <algorithm>

namespace peridot {

namespace {

/// A gap of several ticks that is too short to count as a freeze still delays acks by its length.
constexpr milliseconds late_tick_threshold{300};
/// Limits the datagram rate after a partition, when many members have to be verified.
constexpr std::size_t verifications_per_tick = 2;
/// Sufficient when a tenth of a fleet of 860 members drains simultaneously.
constexpr std::size_t push_datagrams_per_tick = 8;
constexpr std::size_t seeds_per_attempt = 3;
constexpr milliseconds first_join_backoff{500};
constexpr unsigned max_join_doublings = 5;
constexpr seconds tombstone_removal_period{60};

milliseconds random_up_to(milliseconds whole, random_source& random) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, whole.count())(random));
}

} // namespace

swim_protocol::implementation::implementation(member_record own, swim_settings const& chosen,
                                              random_source source, steady_time now)
    : settings(chosen)
    , random(source)
    , table(std::move(own), chosen.members_limit, now)
    , health(chosen.local_health_limit)
    , next_probe_number(this->random() >> 1U)
    , last_tick(now)
    , next_probe(now + random_up_to(chosen.probe_period, this->random))
    , next_dead_probe(now + random_up_to(chosen.dead_probe_period, this->random))
    , next_digest(now + random_up_to(chosen.digest_period, this->random))
    , next_join(now)
    , next_tombstone_removal(now + tombstone_removal_period) {
    this->queue.add(this->own_update());
}

void swim_protocol::implementation::tick(steady_time now) {
    auto const gap = now - this->last_tick;
    this->last_tick = now;
    if (this->superseded) {
        return;
    }
    if (gap > late_tick_threshold) {
        this->recover_from_freeze(now, gap);
    }
    this->push_urgent();
    if (this->table.own().state == member_state::left) {
        return;
    }
    this->check_probes(now);
    this->check_relays(now);
    this->check_suspicions(now);
    this->start_probes(now);
    this->check_fetch(now);
    this->compare_digests(now);
    this->join(now);
    this->remove_tombstones(now);
}

// Acks may be pending unread in the socket and refutations may have been missed, so timers that
// expired during the freeze are no evidence against other members.
void swim_protocol::implementation::recover_from_freeze(steady_time now, nanoseconds gap) {
    for (auto& [number, probe] : this->probes) {
        probe.ping_requests_due += gap;
        probe.fails_at += gap;
    }
    if (gap <= this->settings.freeze_threshold) {
        return;
    }
    ++this->counters.freezes;
    this->probes.clear();
    this->relays.clear();
    this->table.restart_suspicions(now);
    this->health.worsen();
    // The acks report any suspicion or death of this member, so that it can refute.
    for (auto const* const peer : this->table.choose_peers(3, {}, this->random)) {
        this->verifications.push_front(peer->record.instance);
    }
}

void swim_protocol::implementation::check_probes(steady_time now) {
    for (auto position = this->probes.begin(); position != this->probes.end();) {
        auto& [number, probe] = *position;
        if (now >= probe.fails_at) {
            pending_probe const failed = probe;
            position = this->probes.erase(position);
            this->fail_probe(failed, now);
            continue;
        }
        if (!probe.ping_requests_sent && now >= probe.ping_requests_due &&
            probe.purpose == probe_purpose::detection) {
            this->send_ping_requests(number, probe);
        }
        ++position;
    }
}

void swim_protocol::implementation::send_ping_requests(std::uint64_t number, pending_probe& probe) {
    probe.ping_requests_sent = true;
    auto const* const entry = this->table.find(probe.target);
    if (entry == nullptr || !is_present(entry->state)) {
        return;
    }
    // A second direct ping costs one datagram and, at 10 % loss, avoids most false suspicions.
    datagram ping = this->header(datagram_kind::ping);
    ping.probe = number;
    ping.target = probe.target;
    this->send_raw(address_of(entry->record), encode_header(ping));
    datagram request = this->header(datagram_kind::ping_request);
    request.probe = number;
    request.target = probe.target;
    request.target_address = address_of(entry->record);
    auto const intermediaries =
        this->table.choose_peers(this->settings.indirect_probes, probe.target, this->random);
    probe.intermediaries = intermediaries.size();
    for (auto const* const intermediary : intermediaries) {
        datagram_writer writer(request);
        this->send(address_of(intermediary->record), writer);
    }
}

void swim_protocol::implementation::fail_probe(pending_probe const& probe, steady_time now) {
    if (probe.purpose == probe_purpose::revival) {
        return;
    }
    ++this->counters.probes_failed;
    // Responses from intermediaries, even nacks, show that this member's own network works.
    if (probe.intermediaries == 0 || probe.nacks < probe.intermediaries) {
        this->health.worsen();
    }
    this->suspect(probe.target, now);
}

void swim_protocol::implementation::check_relays(steady_time now) {
    for (auto position = this->relays.begin(); position != this->relays.end();) {
        if (now < position->second.fails_at) {
            ++position;
            continue;
        }
        datagram answer = this->header(datagram_kind::nack);
        answer.probe = position->second.requester_probe;
        this->send_raw(position->second.requester, encode_header(answer));
        position = this->relays.erase(position);
    }
}

void swim_protocol::implementation::check_suspicions(steady_time now) {
    std::vector<std::string> expired;
    for (auto const& name : this->table.suspects()) {
        auto const* const entry = this->table.find(name);
        auto const timeout =
            suspicion_timeout(this->settings, this->members(),
                              entry->accusers.empty() ? 0 : entry->accusers.size() - 1);
        if (now - entry->since >= timeout) {
            expired.push_back(name);
        }
    }
    for (auto const& name : expired) {
        this->declare_dead(name, now);
    }
}

void swim_protocol::implementation::start_probes(steady_time now) {
    this->start_verifications(now);
    if (now >= this->next_probe) {
        this->next_probe = now + this->settings.probe_period * this->health.multiplier();
        if (auto const* const entry = this->table.next_in_round(this->random)) {
            this->start_probe(*entry, probe_purpose::detection, now);
        }
    }
    if (now >= this->next_dead_probe) {
        this->next_dead_probe = now + this->settings.dead_probe_period;
        if (auto const* const entry = this->table.choose_dead(this->random)) {
            this->start_probe(*entry, probe_purpose::revival, now);
        }
    }
}

void swim_protocol::implementation::start_verifications(steady_time now) {
    for (std::size_t started = 0; started < verifications_per_tick && !this->verifications.empty();
         ++started) {
        std::string const name = std::move(this->verifications.front());
        this->verifications.pop_front();
        auto const* const entry = this->table.find(name);
        if (entry != nullptr && entry->state != liveness::left) {
            this->start_probe(
                *entry,
                is_present(entry->state) ? probe_purpose::detection : probe_purpose::revival, now);
        }
    }
}

void swim_protocol::implementation::start_probe(member_entry const& entry, probe_purpose purpose,
                                                steady_time now) {
    ++this->counters.probes;
    datagram ping = this->header(datagram_kind::ping);
    ping.probe = this->next_probe_number++;
    ping.target = entry.record.instance;
    datagram_writer writer(ping);
    if (entry.state != liveness::alive) {
        // The ping carries the claim that the member has to refute.
        writer.try_append(encode_update(this->claim(entry, entry.state)));
    }
    this->send(address_of(entry.record), writer);
    auto const multiplier = this->health.multiplier();
    this->probes[ping.probe] = {.target = ping.target,
                                .purpose = purpose,
                                .ping_requests_due =
                                    now + this->settings.direct_timeout * multiplier,
                                .fails_at = now + this->settings.probe_period * multiplier};
}

void swim_protocol::implementation::push_urgent() {
    if (!this->queue.is_push_due()) {
        return;
    }
    std::optional<std::string> after("");
    for (std::size_t count = 0; count < push_datagrams_per_tick && after; ++count) {
        datagram_writer writer(this->header(datagram_kind::push));
        after = this->queue.append_urgent_to(writer, *after);
        for (auto const* const peer :
             this->table.choose_peers(this->settings.push_fan_out, {}, this->random)) {
            this->send_raw(address_of(peer->record), writer.bytes());
        }
    }
}

void swim_protocol::implementation::join(steady_time now) {
    if (this->seeds.empty() || !this->table.peers().empty() || now < this->next_join) {
        return;
    }
    std::shuffle(this->seeds.begin(), this->seeds.end(), this->random);
    for (std::size_t index = 0; index < std::min(seeds_per_attempt, this->seeds.size()); ++index) {
        datagram ping = this->header(datagram_kind::ping);
        ping.record_wanted = true;
        datagram_writer writer(ping);
        writer.try_append(encode_update(this->own_update()));
        this->send_raw(this->seeds[index], writer.bytes());
    }
    auto const longest = std::min(first_join_backoff * (1U << this->join_attempts),
                                  this->settings.join_backoff_limit);
    this->join_attempts = std::min(this->join_attempts + 1, max_join_doublings);
    // Attempts are at least one tick apart; jitter spreads the joins of members that start
    // together.
    this->next_join = now + milliseconds(100) + random_up_to(longest, this->random);
}

void swim_protocol::implementation::remove_tombstones(steady_time now) {
    if (now >= this->next_tombstone_removal) {
        this->next_tombstone_removal = now + tombstone_removal_period;
        this->table.remove_expired_tombstones(now, this->settings.tombstone_retention);
    }
}

} // namespace peridot
