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

bool target_tracker::is_older(target_record const& announced) const {
    auto const& known = this->latest ? this->latest : this->unconfirmed;
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
    this->unconfirmed.reset();
    bool const is_changed = !this->latest || differs(*this->latest, next);
    this->latest = std::move(next);
    return is_changed ? target_change::updated : target_change::none;
}

target_change target_tracker::deregister(std::string_view id,
                                         std::optional<std::int64_t> started_ms) {
    this->deregistrations.push_back({std::string(id), started_ms});
    if (this->deregistrations.size() > max_deregistrations) {
        this->deregistrations.pop_front();
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
    if (this->latest || recorded.service != this->service) {
        return target_change::ignored;
    }
    target_record restored = recorded;
    restored.address = this->address;
    if (this->is_deregistered(recorded)) {
        restored.state = target_state::gone;
    }
    if (is_in_service(restored.state)) {
        this->unconfirmed = std::move(restored);
        return target_change::none;
    }
    this->latest = std::move(restored);
    this->unconfirmed.reset();
    return target_change::updated;
}

} // namespace peridot
