#include "membership/swim_implementation.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

/// Limits the memory used by pending verifications after a long partition.
constexpr std::size_t verifications_limit = 4096;
/// Delay of the digest comparison after a member returns, so that not all peers compare at once.
constexpr milliseconds rejoin_digest_delay{3000};
/// As for other members, a larger jump of the sequence means a corrupt update.
constexpr std::uint64_t sequence_step_limit = 1'000'000;

bool is_urgent(member_update const& update) {
    return has_details(update) && (update.record.state == member_state::draining ||
                                   update.record.state == member_state::left);
}

} // namespace

void swim_protocol::implementation::apply_update(member_update const& update, steady_time now) {
    std::string const& instance = update.record.instance;
    if (instance == this->table.own().instance) {
        this->handle_self_update(update, now);
        return;
    }
    auto const* const existing = this->table.find(instance);
    bool const was_present = existing != nullptr && is_present(existing->state);
    bool const is_new_version = existing == nullptr || supersedes(update.record, existing->record);
    auto const effect = this->table.apply(update, now, this->random);
    if (effect == update_effect::none) {
        return;
    }
    auto const* const entry = this->table.find(instance);
    if (effect == update_effect::confirmed) {
        // Confirmations that no longer shorten the suspicion are not disseminated.
        if (entry->accusers.size() <= this->settings.required_confirmations + 1) {
            this->queue.add(update);
        }
        return;
    }
    if (is_new_version && is_urgent(update)) {
        this->queue.add_urgent(update, this->settings.push_rounds);
    } else {
        this->queue.add(update);
    }
    this->record_change(instance, was_present, now);
}

// A page is older than gossip and includes members whose state differs between tables. It can
// therefore add newer records but not change a member's liveness; a probe of the member verifies
// that.
void swim_protocol::implementation::apply_page_update(member_update const& update,
                                                      steady_time now) {
    std::string const& instance = update.record.instance;
    if (instance == this->table.own().instance) {
        this->handle_self_update(update, now);
        return;
    }
    auto const* const existing = this->table.find(instance);
    bool const was_present = existing != nullptr && is_present(existing->state);
    bool const is_new_version = existing == nullptr || supersedes(update.record, existing->record);
    if (update.gone_for >= this->settings.tombstone_retention) {
        return;
    }
    if (is_new_version && (update.state != liveness::dead || !was_present)) {
        member_update adjusted = update;
        adjusted.state = update.state == liveness::suspect ? liveness::alive : update.state;
        if (this->table.apply(adjusted, now, this->random) == update_effect::changed) {
            this->record_change(instance, was_present, now);
        }
        return;
    }
    bool const is_older = existing != nullptr && supersedes(existing->record, update.record);
    if (!is_older && is_present(update.state) != was_present && existing->state != liveness::left) {
        this->schedule_verification(instance);
    }
}

void swim_protocol::implementation::record_change(std::string const& instance, bool was_present,
                                                  steady_time now) {
    auto const* const entry = this->table.find(instance);
    this->changes.push_back({entry->record, entry->state});
    if (!was_present && is_present(entry->state)) {
        bool const is_first = this->table.peers().size() == 1;
        this->next_digest = std::min(this->next_digest, is_first ? now : now + rejoin_digest_delay);
        this->join_attempts = 0;
    }
}

void swim_protocol::implementation::handle_self_update(member_update const& update,
                                                       steady_time now) {
    member_record const& own = this->table.own();
    if (update.record.incarnation > own.incarnation) {
        this->handle_newer_incarnation(update.record, now);
        return;
    }
    if (update.record.incarnation < own.incarnation || own.state == member_state::left) {
        return;
    }
    bool const is_accused = update.state == liveness::suspect || update.state == liveness::dead;
    if (is_accused) {
        this->refutation_due = true;
    }
    // A record that this process did not write, such as one from before a fast restart.
    bool const is_from_other_process = has_details(update) && update.record != own;
    bool const is_current = update.record.sequence == own.sequence;
    bool const is_ahead = update.record.sequence > own.sequence;
    if (is_ahead && update.record.sequence - own.sequence > sequence_step_limit) {
        return;
    }
    if (is_ahead || (is_current && (is_accused || is_from_other_process))) {
        ++this->counters.refutations;
        if (is_accused) {
            this->health.worsen();
        }
        member_record next = own;
        next.sequence = update.record.sequence + 1;
        this->announce(next, now);
    }
}

void swim_protocol::implementation::suspect(std::string const& instance, steady_time now) {
    auto const* const entry = this->table.find(instance);
    if (entry == nullptr || !is_present(entry->state)) {
        return;
    }
    member_update update = this->claim(*entry, liveness::suspect);
    update.accuser = this->table.own().instance;
    if (entry->state == liveness::alive) {
        ++this->counters.suspicions;
    }
    this->apply_update(update, now);
}

void swim_protocol::implementation::declare_dead(std::string const& instance, steady_time now) {
    ++this->counters.deaths;
    this->apply_update(this->claim(*this->table.find(instance), liveness::dead), now);
}

void swim_protocol::implementation::schedule_verification(std::string const& instance) {
    if (this->verifications.size() < verifications_limit &&
        std::find(this->verifications.begin(), this->verifications.end(), instance) ==
            this->verifications.end()) {
        this->verifications.push_back(instance);
    }
}

void swim_protocol::implementation::announce(member_record const& own, steady_time now) {
    bool const is_state_new = own.state != this->table.own().state;
    this->table.set_own(own, now);
    auto const update = this->own_update();
    this->changes.push_back({update.record, update.state});
    if (is_state_new && is_urgent(update)) {
        this->queue.add_urgent(update, this->settings.push_rounds);
        this->push_urgent();
    } else {
        this->queue.add(update);
    }
}

void swim_protocol::implementation::handle_newer_incarnation(member_record const& newer,
                                                             steady_time now) {
    // Until its row is written, the process has no incarnation of its own. The record held by other
    // members is then that of its former incarnation, so it continues that version until the
    // platform assigns a revision.
    if (this->table.own().incarnation != 0) {
        this->supersede();
        return;
    }
    member_record next = this->table.own();
    next.incarnation = newer.incarnation;
    next.sequence = newer.sequence + 1;
    this->announce(next, now);
}

void swim_protocol::implementation::supersede() {
    this->superseded = true;
    this->outgoing.clear();
}

member_update swim_protocol::implementation::own_update() const {
    member_update update;
    update.record = this->table.own();
    if (update.record.state == member_state::left) {
        update.state = liveness::left;
    }
    return update;
}

member_update swim_protocol::implementation::claim(member_entry const& entry,
                                                   liveness state) const {
    member_update update;
    update.state = state;
    if (state == liveness::left) {
        update.record = entry.record;
        return update;
    }
    update.record.instance = entry.record.instance;
    update.record.incarnation = entry.record.incarnation;
    update.record.sequence = entry.record.sequence;
    if (state == liveness::suspect && !entry.accusers.empty()) {
        update.accuser = *entry.accusers.begin();
    }
    return update;
}

} // namespace peridot
