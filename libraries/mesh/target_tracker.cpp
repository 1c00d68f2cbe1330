#include "mesh/target_tracker.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr std::size_t remembered_departures = 16;

// Whether other nodes would route differently.
bool differs(target_record const& first, target_record const& second) {
    return first.id != second.id || first.started_ms != second.started_ms ||
           first.state != second.state || first.version != second.version ||
           first.slots != second.slots;
}

} // namespace

target_tracker::target_tracker(std::string address, std::string service)
    : address(std::move(address)), service(std::move(service)) {}

bool target_tracker::is_older(target_record const& announced) const {
    if (!this->known) {
        return false;
    }
    if (announced.started_ms != this->known->started_ms) {
        return announced.started_ms < this->known->started_ms;
    }
    return announced.id == this->known->id && announced.sequence < this->known->sequence;
}

bool target_tracker::has_departed(target_record const& announced) const {
    return std::ranges::any_of(this->departures, [&](departure const& left) {
        return left.id == announced.id &&
               (!left.started_ms || *left.started_ms == announced.started_ms);
    });
}

target_change target_tracker::announce(target_record const& announced) {
    if (announced.address != this->address || announced.service != this->service ||
        this->is_older(announced)) {
        return target_change::ignored;
    }
    target_record next = announced;
    bool const is_same_process = this->known && this->known->id == announced.id &&
                                 this->known->started_ms == announced.started_ms;
    if (is_same_process && this->known->state != target_state::ready &&
        next.state == target_state::ready) {
        next.state = this->known->state;
    }
    if ((is_same_process && this->known->state == target_state::gone) ||
        this->has_departed(announced)) {
        next.state = target_state::gone;
    }
    bool const is_changed = !this->known || differs(*this->known, next);
    this->known = std::move(next);
    return is_changed ? target_change::updated : target_change::none;
}

target_change target_tracker::deregister(std::string_view id,
                                         std::optional<std::int64_t> started_ms) {
    this->departures.push_back({std::string(id), started_ms});
    if (this->departures.size() > remembered_departures) {
        this->departures.pop_front();
    }
    if (!this->known || this->known->id != id ||
        (started_ms && *started_ms != this->known->started_ms)) {
        return target_change::ignored;
    }
    if (this->known->state == target_state::gone) {
        return target_change::none;
    }
    this->known->state = target_state::gone;
    return target_change::updated;
}

target_change target_tracker::restore(target_record const& recorded) {
    if (this->known || recorded.service != this->service) {
        return target_change::ignored;
    }
    this->known = recorded;
    this->known->address = this->address;
    if (this->has_departed(recorded)) {
        this->known->state = target_state::gone;
    }
    return target_change::updated;
}

} // namespace peridot
