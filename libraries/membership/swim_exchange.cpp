#include "membership/datagram_codec.h"
#include "membership/swim_implementation.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

constexpr milliseconds page_timeout{500};
constexpr unsigned max_page_attempts = 5;
/// After a partition most buckets differ. Fetching a subset at a time bounds the traffic; records
/// that other members have fetched in the meantime spread by gossip.
constexpr std::size_t buckets_per_fetch = 32;
/// Reserved for the cursor at the end of a page.
constexpr std::size_t cursor_bytes = 160;

} // namespace

void swim_protocol::implementation::compare_digests(steady_time now) {
    if (now < this->next_digest) {
        return;
    }
    this->next_digest = now + this->settings.digest_period;
    for (auto const* const peer : this->table.choose_peers(1, {}, this->random)) {
        datagram message = this->header(datagram_kind::digest);
        message.digest = this->table.digest();
        this->send_raw(address_of(peer->record), encode_header(message));
    }
}

// The first digest covers the whole table; if it differs, the response has one per bucket.
void swim_protocol::implementation::handle_digest(gossip_address const& from,
                                                  datagram const& received, steady_time now) {
    if (received.digest == this->table.digest()) {
        this->has_synchronized = true;
    } else if (received.digest != 0) {
        datagram answer = this->header(datagram_kind::digest);
        answer.bucket_digests = this->table.bucket_digests();
        this->send_raw(from, encode_header(answer));
    } else if (!received.bucket_digests.empty()) {
        this->start_fetch({.peer = from,
                           .instance = received.sender,
                           .buckets = this->differing_buckets(received.bucket_digests),
                           .own_digests = this->table.bucket_digests()},
                          now);
    }
}

bucket_set
swim_protocol::implementation::differing_buckets(std::vector<std::uint32_t> const& theirs) {
    auto const own = this->table.bucket_digests();
    std::vector<std::size_t> differing;
    for (std::size_t bucket = 0; bucket < theirs.size(); ++bucket) {
        if (theirs[bucket] != own[bucket]) {
            differing.push_back(bucket);
        }
    }
    if (this->has_synchronized && differing.size() > buckets_per_fetch) {
        std::shuffle(differing.begin(), differing.end(), this->random);
        differing.resize(buckets_per_fetch);
    }
    bucket_set buckets;
    for (std::size_t const bucket : differing) {
        buckets.set(bucket);
    }
    return buckets;
}

void swim_protocol::implementation::start_fetch(page_fetch requested, steady_time now) {
    if (requested.buckets.none() || this->fetch) {
        return;
    }
    ++this->counters.exchanges;
    auto const* const entry = this->table.find(requested.instance);
    if (this->transport == exchange_transport::external && entry != nullptr &&
        entry->record.peer_port != 0) {
        this->has_synchronized = true;
        this->exchange_requests.push_back(
            {requested.instance, entry->record.ip, entry->record.peer_port, requested.buckets});
        if (!requested.own_digests.empty()) {
            // A page request without buckets lets the peer detect which buckets it has to fetch.
            datagram request = this->header(datagram_kind::page_request);
            request.bucket_digests = std::move(requested.own_digests);
            this->send_raw(requested.peer, encode_header(request));
        }
        return;
    }
    this->fetch = std::move(requested);
    this->request_page(now);
}

void swim_protocol::implementation::request_page(steady_time now) {
    datagram request = this->header(datagram_kind::page_request);
    request.buckets = this->fetch->buckets;
    request.after = this->fetch->after;
    request.bucket_digests = this->fetch->own_digests;
    this->fetch->repeat_at = now + page_timeout;
    ++this->fetch->attempts;
    this->send_raw(this->fetch->peer, encode_header(request));
}

void swim_protocol::implementation::check_fetch(steady_time now) {
    if (!this->fetch || now < this->fetch->repeat_at) {
        return;
    }
    if (this->fetch->attempts >= max_page_attempts) {
        this->fetch.reset();
    } else {
        this->request_page(now);
    }
}

void swim_protocol::implementation::handle_page_request(gossip_address const& from,
                                                        datagram const& received, steady_time now) {
    if (received.buckets.any()) {
        datagram_writer writer(this->header(datagram_kind::page));
        std::string last;
        bool is_complete = true;
        this->table.visit(received.buckets, received.after, [&](member_entry const& entry) {
            auto const part = encode_update(this->page_update(entry, now));
            is_complete = part.size() + cursor_bytes < writer.room() && writer.try_append(part);
            if (is_complete) {
                last = entry.record.instance;
            }
            return is_complete;
        });
        if (!is_complete) {
            writer.try_append(encode_datagram_cursor(last));
        }
        this->send_raw(from, writer.bytes());
    }
    if (!received.bucket_digests.empty()) {
        this->start_fetch({.peer = from,
                           .instance = received.sender,
                           .buckets = this->differing_buckets(received.bucket_digests)},
                          now);
    }
}

void swim_protocol::implementation::handle_page(datagram const& received, steady_time now) {
    if (!this->fetch || this->fetch->instance != received.sender) {
        return;
    }
    for (auto const& update : received.updates) {
        this->apply_page_update(update, now);
    }
    // A cursor that does not advance would cause an endless fetch.
    if (this->superseded || received.after <= this->fetch->after) {
        this->has_synchronized = this->has_synchronized || received.after.empty();
        this->fetch.reset();
        return;
    }
    this->fetch->after = received.after;
    this->fetch->attempts = 0;
    this->fetch->own_digests.clear();
    this->request_page(now);
}

std::string swim_protocol::implementation::page(bucket_set const& buckets, std::string_view after,
                                                steady_time now) const {
    std::string bytes;
    std::string last;
    bool is_complete = true;
    this->table.visit(buckets, after, [&](member_entry const& entry) {
        auto const part = encode_page_member(this->page_update(entry, now));
        is_complete = bytes.size() + part.size() + cursor_bytes < page_bytes_limit;
        if (is_complete) {
            bytes += part;
            last = entry.record.instance;
        }
        return is_complete;
    });
    return is_complete ? bytes : bytes + encode_page_cursor(last);
}

member_update swim_protocol::implementation::page_update(member_entry const& entry,
                                                         steady_time now) const {
    member_update update;
    update.record = entry.record;
    update.state = entry.state;
    if (!is_present(entry.state)) {
        update.gone_for =
            std::max(seconds(0), std::chrono::duration_cast<seconds>(now - entry.since));
    }
    return update;
}

} // namespace peridot
