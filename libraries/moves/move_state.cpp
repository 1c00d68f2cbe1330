#include "moves/move_state.h"

#include "moves/move_plan.h"
#include "moves/sealing.h"

#include <moves.pb.h>

#include <algorithm>
#include <tuple>

namespace peridot {

namespace {

error malformed(std::string message) {
    return {result_code::datagram_malformed, std::move(message)};
}

// The comparisons define total orders, so that every node selects the same one of two values. They
// include every field: if different values compared as equal, the result would depend on the order
// of merging.
auto comparison_key(take_back const& latch) {
    return std::tie(latch.at_since_epoch, latch.setter, latch.reason, latch.route, latch.old_calls,
                    latch.old_events, latch.new_calls, latch.new_events);
}

bool precedes(take_back const& left, take_back const& right) {
    return comparison_key(left) < comparison_key(right);
}

bool supersedes(move_pause const& left, move_pause const& right) {
    return std::tie(left.revision, left.paused, left.held_step) >
           std::tie(right.revision, right.paused, right.held_step);
}

void write(take_back const& from, moves_wire::take_back& to) {
    to.set_reason(static_cast<std::uint32_t>(from.reason));
    to.set_at_milliseconds(static_cast<std::uint64_t>(from.at_since_epoch.count()));
    to.set_setter(from.setter.substr(0, take_back::maximum_setter_length));
    to.set_route(from.route);
    to.set_old_calls(from.old_calls);
    to.set_old_events(from.old_events);
    to.set_new_calls(from.new_calls);
    to.set_new_events(from.new_events);
}

result<take_back> read(moves_wire::take_back const& from) {
    constexpr auto first = static_cast<std::uint32_t>(take_back_reason::failures);
    constexpr auto last = static_cast<std::uint32_t>(take_back_reason::operator_request);
    constexpr std::uint64_t latest_milliseconds = 4'102'444'800'000; // 2100-01-01
    if (from.reason() < first || from.reason() > last ||
        from.at_milliseconds() > latest_milliseconds ||
        from.setter().size() > take_back::maximum_setter_length ||
        from.new_events() > from.new_calls() || from.old_events() > from.old_calls()) {
        return malformed("take-back has a value out of range");
    }
    take_back decision;
    decision.reason = static_cast<take_back_reason>(from.reason());
    decision.at_since_epoch = milliseconds(from.at_milliseconds());
    decision.setter = from.setter();
    decision.route = from.route();
    decision.old_calls = from.old_calls();
    decision.old_events = from.old_events();
    decision.new_calls = from.new_calls();
    decision.new_events = from.new_events();
    return decision;
}

} // namespace

void merge(move_state& into, move_state const& other) {
    if (into.move != other.move) {
        return;
    }
    into.gate = std::max(into.gate, other.gate);
    if (other.latch && (!into.latch || precedes(*other.latch, *into.latch))) {
        into.latch = other.latch;
    }
    if (supersedes(other.pause, into.pause)) {
        into.pause = other.pause;
    }
}

std::string encode(move_state const& state) {
    moves_wire::move_state message;
    message.set_move(state.move);
    message.set_gate(state.gate);
    if (state.latch) {
        write(*state.latch, *message.mutable_latch());
    }
    message.set_pause_revision(state.pause.revision);
    message.set_paused(state.pause.paused);
    message.set_held_step(state.pause.held_step);
    return seal(message.SerializeAsString());
}

result<move_state> decode_move_state(std::string_view bytes) {
    if (bytes.size() > move_state::maximum_encoded_size) {
        return malformed("move state exceeds the maximum encoded size");
    }
    auto const body = unseal(bytes);
    moves_wire::move_state message;
    if (!body || !message.ParseFromString(*body)) {
        return malformed("move state is corrupted");
    }
    if (message.move().empty() || message.move().size() > move_plan::maximum_id_length ||
        message.gate() >= move_plan::maximum_steps ||
        message.held_step() >= move_plan::maximum_steps) {
        return malformed("move state has a value out of range");
    }
    move_state state;
    state.move = message.move();
    state.gate = message.gate();
    state.pause = {message.pause_revision(), message.paused(), message.held_step()};
    if (message.has_latch()) {
        auto const latch = read(message.latch());
        if (!is_ok(latch)) {
            return failure(latch);
        }
        state.latch = value(latch);
    }
    return state;
}

} // namespace peridot
