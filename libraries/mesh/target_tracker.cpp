#include "mesh/target_tracker.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr std::size_t max_deregistrations = 16;

// Whether the difference affects the routing of other nodes.
bool differs(target_record const& first, target_record const& second) {
    return !is_same_process(first, second) || first.state != second.state ||
           first.version != second.version || first.slots != second.slots;
}

} // namespace

target_tracker::target_tracker(std::string address, std::string service)
    : address(std::move(address)), service(std::move(service)) {}

std::optional<target_record> const& target_tracker::newest() const {
    if (this->deferred) {
        return this->deferred;
    }
    return this->latest ? this->latest : this->unconfirmed;
}

bool target_tracker::is_older(target_record const& announced) const {
    auto const& known = this->newest();
    if (!known) {
        return false;
    }
    if (announced.started_ms != known->started_ms) {
        return announced.started_ms < known->started_ms;
    }
    return announced.id == known->id && announced.sequence < known->sequence;
}

bool target_tracker::is_deregistered(target_record const& announced) const {
    return std::ranges::any_of(this->deregistrations, [&](deregistration const& entry) {
        return entry.id == announced.id &&
               (!entry.started_ms || *entry.started_ms == announced.started_ms);
    });
}

target_change target_tracker::announce(target_record const& announced) {
    if (announced.address != this->address || announced.service != this->service ||
        this->is_older(announced)) {
        return target_change::ignored;
    }
    target_record next = announced;
    bool const is_known = this->latest && is_same_process(*this->latest, announced);
    if (is_known && !is_in_service(this->latest->state) && next.state == target_state::ready) {
        next.state = this->latest->state;
    }
    if ((is_known && this->latest->state == target_state::gone) ||
        this->is_deregistered(announced)) {
        next.state = target_state::gone;
    }
    if (!this->is_record_known && is_in_service(next.state)) {
        bool const is_same = this->deferred && is_same_process(*this->deferred, next);
        this->is_deferred_repeatedly =
            is_same && (this->is_deferred_repeatedly || this->deferred->sequence < next.sequence);
        this->deferred = std::move(next);
        return target_change::deferred;
    }
    return this->use(std::move(next));
}

target_change target_tracker::use(target_record next) {
    this->unconfirmed.reset();
    this->deferred.reset();
    bool const is_changed = !this->latest || differs(*this->latest, next);
    this->latest = std::move(next);
    return is_changed ? target_change::updated : target_change::none;
}

target_change target_tracker::use_deferred() {
    return this->deferred ? this->use(*this->deferred) : target_change::ignored;
}

target_change target_tracker::deregister(std::string_view id,
                                         std::optional<std::int64_t> started_ms) {
    this->deregistrations.push_back({std::string(id), started_ms});
    if (this->deregistrations.size() > max_deregistrations) {
        this->deregistrations.pop_front();
    }
    if (this->deferred && this->is_deregistered(*this->deferred)) {
        this->use_deferred();
    }
    if (this->unconfirmed && this->is_deregistered(*this->unconfirmed)) {
        this->latest = std::move(this->unconfirmed);
        this->unconfirmed.reset();
    }
    if (!this->latest || this->latest->id != id ||
        (started_ms && *started_ms != this->latest->started_ms)) {
        return target_change::ignored;
    }
    if (this->latest->state == target_state::gone) {
        return target_change::none;
    }
    this->latest->state = target_state::gone;
    return target_change::updated;
}

target_change target_tracker::observe(target_record const& target) {
    if (!this->latest || !is_same_process(*this->latest, target)) {
        return target_change::ignored;
    }
    if (!is_in_service(this->latest->state) || this->latest->state == target.state) {
        return target_change::none;
    }
    this->latest->state = target.state;
    return target_change::updated;
}

target_change target_tracker::restore(target_record const& recorded) {
    if (recorded.service != this->service) {
        return this->confirm_unrecorded();
    }
    this->is_record_known = true;
    target_record restored = recorded;
    restored.address = this->address;
    if (this->is_deregistered(recorded)) {
        restored.state = target_state::gone;
    }
    return this->deferred || this->latest ? this->merge(restored)
                                          : this->await_or_use(std::move(restored));
}

target_change target_tracker::merge(target_record const& restored) {
    auto const& announced = *this->newest();
    if (restored.started_ms > announced.started_ms) {
        return this->await_or_use(restored);
    }
    bool const is_unconfirmed = this->deferred && !this->is_deferred_repeatedly;
    if (is_unconfirmed && is_same_process(restored, announced) && is_in_service(restored.state)) {
        target_record next = restored;
        next.sequence = announced.sequence;
        return this->await_or_use(std::move(next));
    }
    bool const is_further = is_same_process(restored, announced) &&
                            leaving_stage(restored.state) > leaving_stage(announced.state);
    if (!is_further) {
        return this->use_deferred();
    }
    target_record next = announced;
    next.state = restored.state;
    return this->use(std::move(next));
}

target_change target_tracker::await_or_use(target_record restored) {
    if (!is_in_service(restored.state)) {
        return this->use(std::move(restored));
    }
    bool const was_in_use = this->latest.has_value();
    this->latest.reset();
    this->deferred.reset();
    this->unconfirmed = std::move(restored);
    return was_in_use ? target_change::updated : target_change::none;
}

target_change target_tracker::confirm_unrecorded() {
    this->is_record_known = true;
    return this->use_deferred();
}

} // namespace peridot
