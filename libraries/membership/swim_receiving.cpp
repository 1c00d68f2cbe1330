#include "membership/datagram_codec.h"
#include "membership/suspicion.h"
#include "membership/swim_implementation.h"

namespace peridot {

namespace {

/// Limits the memory used by ping requests.
constexpr std::size_t relays_limit = 256;

bool is_newer(datagram const& received, member_record const& held) {
    return received.incarnation != held.incarnation ? received.incarnation > held.incarnation
                                                    : received.sequence > held.sequence;
}

} // namespace

status swim_protocol::implementation::receive(gossip_address const& from, std::string_view bytes,
                                              steady_time now) {
    ++this->counters.datagrams_received;
    this->counters.bytes_received += bytes.size();
    auto const decoded = decode_datagram(bytes);
    if (!is_ok(decoded)) {
        ++this->counters.malformed;
        return failure(decoded);
    }
    if (!this->superseded) {
        this->process_datagram(from, value(decoded), now);
    }
    if (this->superseded) {
        return error{result_code::member_superseded,
                     "a newer incarnation of " + this->table.own().instance + " has taken over"};
    }
    return success();
}

void swim_protocol::implementation::process_datagram(gossip_address const& from,
                                                     datagram const& received, steady_time now) {
    if (received.sender == this->table.own().instance) {
        if (received.incarnation > this->table.own().incarnation) {
            if (this->table.own().incarnation != 0) {
                this->supersede();
            }
        } else if (received.incarnation < this->table.own().incarnation) {
            // Notifies the former incarnation that it has been superseded.
            this->push_own_record(from);
        }
        return;
    }
    this->refutation_due = false;
    if (received.kind == datagram_kind::page) {
        this->handle_page(received, now);
    } else {
        for (auto const& update : received.updates) {
            this->apply_update(update, now);
        }
    }
    if (this->superseded) {
        return;
    }
    for (auto const& item : received.attachments) {
        this->attachments.receive(item, received.sender);
    }
    switch (received.kind) {
    case datagram_kind::ping:
        this->handle_ping(from, received);
        return;
    case datagram_kind::ack:
        this->handle_ack(from, received);
        break;
    case datagram_kind::ping_request:
        this->handle_ping_request(from, received, now);
        break;
    case datagram_kind::nack:
        this->handle_nack(received);
        break;
    case datagram_kind::digest:
        this->handle_digest(from, received, now);
        break;
    case datagram_kind::page_request:
        this->handle_page_request(from, received, now);
        break;
    case datagram_kind::push:
    case datagram_kind::page:
        break;
    }
    if (this->refutation_due || received.record_wanted) {
        this->push_own_record(from);
    }
}

bool swim_protocol::implementation::lacks_record_of(datagram const& received) const {
    auto const* const entry = this->table.find(received.sender);
    return entry == nullptr || is_newer(received, entry->record);
}

// Appends the state held for the sender if it is suspect, dead or superseded, so that it can react.
void swim_protocol::implementation::append_state_of_sender(datagram_writer& writer,
                                                           datagram const& received) const {
    auto const* const entry = this->table.find(received.sender);
    if (entry == nullptr || is_newer(received, entry->record)) {
        return;
    }
    if (entry->record.incarnation > received.incarnation) {
        member_update update;
        update.record = entry->record;
        update.state = entry->state;
        writer.try_append(encode_update(update));
    } else if (entry->state == liveness::suspect || entry->state == liveness::dead) {
        writer.try_append(encode_update(this->claim(*entry, entry->state)));
    }
}

void swim_protocol::implementation::handle_ping(gossip_address const& from,
                                                datagram const& received) {
    if (!received.target.empty() && received.target != this->table.own().instance) {
        ++this->counters.misdirected;
        return;
    }
    datagram answer = this->header(datagram_kind::ack);
    answer.probe = received.probe;
    answer.record_wanted = this->lacks_record_of(received);
    datagram_writer writer(answer);
    if (received.record_wanted || this->refutation_due) {
        writer.try_append(encode_update(this->own_update()));
    }
    this->append_state_of_sender(writer, received);
    this->send(from, writer);
}

void swim_protocol::implementation::handle_ack(gossip_address const& from,
                                               datagram const& received) {
    auto const* const entry = this->table.find(received.sender);
    bool const is_from_former_incarnation =
        entry != nullptr && entry->record.incarnation > received.incarnation;
    if (auto const relayed = this->relays.find(received.probe); relayed != this->relays.end()) {
        if (relayed->second.target == received.sender && !is_from_former_incarnation) {
            this->handle_relayed(relayed->second, received);
            this->relays.erase(relayed);
        }
    } else if (auto const probe = this->probes.find(received.probe); probe != this->probes.end()) {
        std::string const& answering_member =
            received.target.empty() ? received.sender : received.target;
        if (answering_member == probe->second.target && !is_from_former_incarnation) {
            if (probe->second.purpose == probe_purpose::detection) {
                this->health.improve();
            }
            this->probes.erase(probe);
        }
    }
    if (this->lacks_record_of(received)) {
        datagram request = this->header(datagram_kind::push);
        request.record_wanted = true;
        this->send_raw(from, encode_header(request));
    }
}

void swim_protocol::implementation::handle_relayed(relay const& relayed,
                                                   datagram const& /*received*/) {
    datagram answer = this->header(datagram_kind::ack);
    answer.probe = relayed.requester_probe;
    answer.target = relayed.target;
    datagram_writer writer(answer);
    this->send(relayed.requester, writer);
}

void swim_protocol::implementation::handle_ping_request(gossip_address const& from,
                                                        datagram const& received, steady_time now) {
    if (received.target.empty() || received.target_address.port == 0 ||
        this->relays.size() >= relays_limit) {
        return;
    }
    datagram ping = this->header(datagram_kind::ping);
    ping.probe = this->next_probe_number++;
    ping.target = received.target;
    datagram_writer writer(ping);
    this->send(received.target_address, writer);
    this->relays[ping.probe] = {from, received.probe, received.target,
                                now + this->settings.direct_timeout};
}

void swim_protocol::implementation::handle_nack(datagram const& received) {
    if (auto const probe = this->probes.find(received.probe); probe != this->probes.end()) {
        ++probe->second.nacks;
    }
}

void swim_protocol::implementation::push_own_record(gossip_address const& to) {
    datagram_writer writer(this->header(datagram_kind::push));
    writer.try_append(encode_update(this->own_update()));
    this->send_raw(to, writer.bytes());
}

datagram swim_protocol::implementation::header(datagram_kind kind) const {
    datagram made;
    made.kind = kind;
    made.sender = this->table.own().instance;
    made.incarnation = this->table.own().incarnation;
    made.sequence = this->table.own().sequence;
    return made;
}

void swim_protocol::implementation::send(gossip_address const& to, datagram_writer& writer) {
    this->attachments.append_to(writer);
    this->queue.append_to(writer, retransmit_limit(this->settings, this->members()));
    this->send_raw(to, writer.bytes());
}

void swim_protocol::implementation::send_raw(gossip_address const& to, std::string const& bytes) {
    ++this->counters.datagrams_sent;
    this->counters.bytes_sent += bytes.size();
    this->outgoing.push_back({to, bytes});
}

} // namespace peridot
