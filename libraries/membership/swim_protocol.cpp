#include "membership/swim_protocol.h"

#include "membership/datagram_codec.h"
#include "membership/swim_implementation.h"

#include <algorithm>
#include <utility>

namespace peridot {

swim_protocol::swim_protocol(member_record own, swim_settings const& settings, random_source random,
                             steady_time now)
    : hidden(std::make_unique<implementation>(std::move(own), settings, random, now)) {}

swim_protocol::~swim_protocol() = default;
swim_protocol::swim_protocol(swim_protocol&&) noexcept = default;
swim_protocol& swim_protocol::operator=(swim_protocol&&) noexcept = default;

void swim_protocol::tick(steady_time now) {
    this->hidden->tick(now);
}

status swim_protocol::receive(gossip_address const& from, std::string_view bytes, steady_time now) {
    return this->hidden->receive(from, bytes, now);
}

void swim_protocol::set_state(member_state state, steady_time now) {
    member_record next = this->own();
    if (next.state != state) {
        next.state = state;
        ++next.sequence;
        this->hidden->announce(next, now);
    }
}

void swim_protocol::set_target(std::string_view service, std::string_view target_version,
                               std::uint32_t slots, steady_time now) {
    member_record next = this->own();
    next.service = service;
    next.target_version = target_version;
    next.slots = slots;
    if (next != this->own()) {
        ++next.sequence;
        this->hidden->announce(next, now);
    }
}

void swim_protocol::set_incarnation(std::uint64_t incarnation, steady_time now) {
    member_record next = this->own();
    if (incarnation > next.incarnation) {
        next.incarnation = incarnation;
        next.sequence = 0;
        this->hidden->announce(next, now);
    }
}

void swim_protocol::set_ports(std::uint16_t peer_port, std::uint16_t gossip_port, steady_time now) {
    member_record next = this->own();
    next.peer_port = peer_port;
    next.gossip_port = gossip_port;
    if (next != this->own()) {
        ++next.sequence;
        this->hidden->announce(next, now);
    }
}

void swim_protocol::add_seed(gossip_address const& seed) {
    auto& seeds = this->hidden->seeds;
    if (std::find(seeds.begin(), seeds.end(), seed) == seeds.end()) {
        seeds.push_back(seed);
        this->hidden->join_attempts = 0;
        this->hidden->next_join = this->hidden->last_tick;
    }
}

void swim_protocol::set_attachment_provider(std::uint32_t kind, attachment_provider provider) {
    this->hidden->attachments.set(kind, std::move(provider));
}

status swim_protocol::send_attachment(std::string_view instance, attachment const& item) {
    if (item.content.size() > max_attachment_bytes) {
        return error{result_code::datagram_malformed, "attachment exceeds the size limit"};
    }
    auto const* const entry = this->hidden->table.find(instance);
    if (entry == nullptr || !is_present(entry->state)) {
        return error{result_code::member_unknown,
                     "no member " + std::string(instance) + " is present"};
    }
    datagram_writer writer(this->hidden->header(datagram_kind::push));
    writer.try_append(encode_attachment(item));
    this->hidden->send_raw(address_of(entry->record), writer.bytes());
    return success();
}

std::size_t swim_protocol::push_attachment(attachment const& item, std::size_t count) {
    if (item.content.size() > max_attachment_bytes) {
        return 0;
    }
    datagram_writer writer(this->hidden->header(datagram_kind::push));
    writer.try_append(encode_attachment(item));
    auto const chosen = this->hidden->table.choose_peers(count, {}, this->hidden->random);
    for (auto const* const peer : chosen) {
        this->hidden->send_raw(address_of(peer->record), writer.bytes());
    }
    return chosen.size();
}

void swim_protocol::set_exchange_transport(exchange_transport transport) {
    this->hidden->transport = transport;
}

std::string swim_protocol::page(bucket_set const& buckets, std::string_view after,
                                steady_time now) const {
    return this->hidden->page(buckets, after, now);
}

result<std::string> swim_protocol::merge_page(std::string_view bytes, steady_time now) {
    auto decoded = decode_page(bytes);
    if (!is_ok(decoded)) {
        ++this->hidden->counters.malformed;
        return failure(decoded);
    }
    for (auto const& update : value(decoded).members) {
        this->hidden->apply_page_update(update, now);
    }
    return std::move(value(decoded).next);
}

std::vector<outgoing_datagram> swim_protocol::take_outgoing() {
    return std::exchange(this->hidden->outgoing, {});
}

std::vector<membership_change> swim_protocol::take_changes() {
    return std::exchange(this->hidden->changes, {});
}

std::vector<exchange_request> swim_protocol::take_exchange_requests() {
    return std::exchange(this->hidden->exchange_requests, {});
}

member_record const& swim_protocol::own() const {
    return this->hidden->table.own();
}

std::vector<member_record> swim_protocol::present() const {
    return this->hidden->table.present();
}

std::optional<liveness> swim_protocol::state_of(std::string_view instance) const {
    auto const* const entry = this->hidden->table.find(instance);
    return entry == nullptr ? std::nullopt : std::optional(entry->state);
}

std::optional<member_record> swim_protocol::record_of(std::string_view instance) const {
    auto const* const entry = this->hidden->table.find(instance);
    return entry == nullptr ? std::nullopt : std::optional(entry->record);
}

std::uint64_t swim_protocol::digest() const {
    return this->hidden->table.digest();
}

bool swim_protocol::is_superseded() const {
    return this->hidden->superseded;
}

swim_counters const& swim_protocol::counters() const {
    return this->hidden->counters;
}

} // namespace peridot
