#include "distribution/head_gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace peridot {

void head_gossip::hold(std::uint64_t next, std::string next_hash, std::size_t members) {
    if (next <= this->version) {
        return;
    }
    this->version = next;
    this->manifest_hash = std::move(next_hash);
    // The former version's confirmation says nothing about this one.
    this->confirmed.reset();
    this->push_rounds = static_cast<std::size_t>(std::bit_width(members));
}

void head_gossip::confirm(steady_time at) {
    this->confirmed = std::max(at, this->confirmed.value_or(at));
}

void head_gossip::forget_confirmation() {
    this->confirmed.reset();
}

result<head_announcement> head_gossip::receive(std::string_view bytes, steady_time now) {
    auto read = decode_head_announcement(bytes);
    if (!is_ok(read)) {
        return read;
    }
    auto const& heard = value(read);
    bool const is_same =
        heard.version == this->version && heard.manifest_hash == this->manifest_hash;
    if (is_same && heard.confirmation_age) {
        this->confirm(now - *heard.confirmation_age);
    }
    return read;
}

head_announcement head_gossip::current(steady_time now) const {
    return {this->version, this->manifest_hash, this->confirmation_age(now)};
}

std::optional<milliseconds> head_gossip::confirmation_age(steady_time now) const {
    if (!this->confirmed) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *this->confirmed);
}

bool head_gossip::take_push_round() {
    if (this->push_rounds == 0) {
        return false;
    }
    --this->push_rounds;
    return true;
}

} // namespace peridot
