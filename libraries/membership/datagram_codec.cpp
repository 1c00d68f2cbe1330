#include "membership/datagram_codec.h"

#include "membership/wire_messages.h"

#include <optional>

namespace peridot {

namespace {

constexpr std::size_t name_bytes_limit = 128;
constexpr std::size_t ip_bytes_limit = 45;
constexpr int updates_limit = 64;
constexpr int attachments_limit = 16;
constexpr std::size_t buckets_bytes = digest_buckets / 8;
// A version near the end of the range could never be superseded, so it is rejected as corrupt.
constexpr std::uint64_t version_limit = std::uint64_t{1} << 62U;
constexpr std::uint32_t slots_limit = 1'000'000;
constexpr std::uint32_t gone_for_seconds_limit = 10 * 365 * 86'400;

bool is_name(std::string const& text) {
    return !text.empty() && text.size() <= name_bytes_limit;
}

bool is_port(std::uint32_t port) {
    return port <= 0xffffU;
}

error malformed(char const* reason) {
    return {result_code::datagram_malformed, reason};
}

void write_details(member_record const& record, wire::member_details& message) {
    message.set_ip(record.ip);
    message.set_peer_port(record.peer_port);
    message.set_gossip_port(record.gossip_port);
    message.set_availability_zone(record.availability_zone);
    message.set_region(record.region);
    message.set_service(record.service);
    message.set_target_version(record.target_version);
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_slots(record.slots);
}

void write_update(member_update const& update, wire::member_update& message) {
    message.set_instance(update.record.instance);
    message.set_incarnation(update.record.incarnation);
    message.set_sequence(update.record.sequence);
    message.set_liveness(static_cast<std::uint32_t>(update.state));
    message.set_accuser(update.accuser);
    message.set_gone_for_seconds(static_cast<std::uint32_t>(update.gone_for.count()));
    if (has_details(update)) {
        write_details(update.record, *message.mutable_details());
    }
}

bool are_details_valid(wire::member_details const& message) {
    return !message.ip().empty() && message.ip().size() <= ip_bytes_limit &&
           is_port(message.peer_port()) && is_port(message.gossip_port()) &&
           message.gossip_port() != 0 && message.availability_zone().size() <= name_bytes_limit &&
           message.region().size() <= name_bytes_limit &&
           message.service().size() <= name_bytes_limit &&
           message.target_version().size() <= name_bytes_limit &&
           message.state() <= static_cast<std::uint32_t>(member_state::left) &&
           message.slots() <= slots_limit;
}

void read_details(wire::member_details const& message, member_record& record) {
    record.ip = message.ip();
    record.peer_port = static_cast<std::uint16_t>(message.peer_port());
    record.gossip_port = static_cast<std::uint16_t>(message.gossip_port());
    record.availability_zone = message.availability_zone();
    record.region = message.region();
    record.service = message.service();
    record.target_version = message.target_version();
    record.state = static_cast<member_state>(message.state());
    record.slots = message.slots();
}

// An update that a member is alive, or has left voluntarily, is useless without its record.
bool needs_details(liveness state) {
    return state == liveness::alive || state == liveness::left;
}

std::optional<member_update> read_update(wire::member_update const& message) {
    if (!is_name(message.instance()) || message.incarnation() >= version_limit ||
        message.sequence() >= version_limit || message.accuser().size() > name_bytes_limit ||
        message.liveness() > static_cast<std::uint32_t>(liveness::left) ||
        message.gone_for_seconds() > gone_for_seconds_limit ||
        (message.has_details() && !are_details_valid(message.details()))) {
        return std::nullopt;
    }
    member_update update;
    update.record.instance = message.instance();
    update.record.incarnation = message.incarnation();
    update.record.sequence = message.sequence();
    update.state = static_cast<liveness>(message.liveness());
    update.accuser = message.accuser();
    update.gone_for = seconds(message.gone_for_seconds());
    if (message.has_details()) {
        read_details(message.details(), update.record);
        if (update.record.state == member_state::left) {
            update.state = liveness::left;
        }
    } else if (needs_details(update.state)) {
        return std::nullopt;
    }
    return update;
}

template<typename Messages>
bool read_updates(Messages const& messages, std::vector<member_update>& updates) {
    updates.reserve(static_cast<std::size_t>(messages.size()));
    for (auto const& message : messages) {
        auto update = read_update(message);
        if (!update) {
            return false;
        }
        updates.push_back(std::move(*update));
    }
    return true;
}

bool is_header_valid(wire::datagram const& message) {
    return message.kind() <= static_cast<std::uint32_t>(datagram_kind::page) &&
           is_name(message.sender()) && message.incarnation() < version_limit &&
           message.sequence() < version_limit && message.target().size() <= name_bytes_limit &&
           message.target_ip().size() <= ip_bytes_limit && is_port(message.target_port()) &&
           message.after().size() <= name_bytes_limit && message.updates_size() <= updates_limit &&
           message.attachments_size() <= attachments_limit &&
           (message.bucket_digests().empty() ||
            message.bucket_digests_size() == static_cast<int>(digest_buckets)) &&
           (message.buckets().empty() || message.buckets().size() == buckets_bytes);
}

std::string write_buckets(bucket_set const& buckets) {
    std::string bytes(buckets_bytes, '\0');
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket) {
        if (buckets[bucket]) {
            bytes[bucket / 8] = static_cast<char>(bytes[bucket / 8] | (1U << (bucket % 8)));
        }
    }
    return bytes;
}

bucket_set read_buckets(std::string const& bytes) {
    bucket_set buckets;
    for (std::size_t bucket = 0; bucket < bytes.size() * 8; ++bucket) {
        buckets[bucket] =
            ((static_cast<unsigned char>(bytes[bucket / 8]) >> (bucket % 8)) & 1U) != 0;
    }
    return buckets;
}

datagram read_header(wire::datagram const& message) {
    datagram header;
    header.kind = static_cast<datagram_kind>(message.kind());
    header.sender = message.sender();
    header.incarnation = message.incarnation();
    header.sequence = message.sequence();
    header.probe = message.probe();
    header.target = message.target();
    header.target_address = {message.target_ip(),
                             static_cast<std::uint16_t>(message.target_port())};
    header.record_wanted = message.record_wanted();
    header.digest = message.digest();
    header.bucket_digests.assign(message.bucket_digests().begin(), message.bucket_digests().end());
    header.buckets = read_buckets(message.buckets());
    header.after = message.after();
    return header;
}

} // namespace

std::string encode_header(datagram const& header) {
    wire::datagram message;
    message.set_kind(static_cast<std::uint32_t>(header.kind));
    message.set_sender(header.sender);
    message.set_incarnation(header.incarnation);
    message.set_sequence(header.sequence);
    message.set_probe(header.probe);
    message.set_target(header.target);
    message.set_target_ip(header.target_address.ip);
    message.set_target_port(header.target_address.port);
    message.set_record_wanted(header.record_wanted);
    message.set_digest(header.digest);
    message.mutable_bucket_digests()->Add(header.bucket_digests.begin(),
                                          header.bucket_digests.end());
    if (header.buckets.any()) {
        message.set_buckets(write_buckets(header.buckets));
    }
    message.set_after(header.after);
    return message.SerializeAsString();
}

std::string encode_update(member_update const& update) {
    wire::datagram message;
    write_update(update, *message.add_updates());
    return message.SerializeAsString();
}

std::string encode_datagram_cursor(std::string_view next) {
    wire::datagram message;
    message.set_after(std::string(next));
    return message.SerializeAsString();
}

std::string encode_attachment(attachment const& item) {
    wire::datagram message;
    auto& written = *message.add_attachments();
    written.set_kind(item.kind);
    written.set_content(item.content);
    return message.SerializeAsString();
}

result<datagram> decode_datagram(std::string_view bytes) {
    if (bytes.size() >= datagram_bytes_limit) {
        return malformed("datagram exceeds the size limit");
    }
    wire::datagram message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformed("datagram is not valid protobuf");
    }
    if (!is_header_valid(message)) {
        return malformed("datagram header has a value out of range");
    }
    datagram decoded = read_header(message);
    if (!read_updates(message.updates(), decoded.updates)) {
        return malformed("datagram update has a value out of range");
    }
    for (auto const& item : message.attachments()) {
        if (item.content().size() > max_attachment_bytes) {
            return malformed("datagram attachment exceeds the size limit");
        }
        decoded.attachments.push_back({item.kind(), item.content()});
    }
    return decoded;
}

std::string encode_page_member(member_update const& update) {
    wire::member_page message;
    write_update(update, *message.add_members());
    return message.SerializeAsString();
}

std::string encode_page_cursor(std::string_view next) {
    wire::member_page message;
    message.set_next(std::string(next));
    return message.SerializeAsString();
}

result<member_page> decode_page(std::string_view bytes) {
    if (bytes.size() >= page_bytes_limit) {
        return malformed("member page exceeds the size limit");
    }
    wire::member_page message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformed("member page is not valid protobuf");
    }
    member_page page;
    page.next = message.next();
    if (page.next.size() > name_bytes_limit || !read_updates(message.members(), page.members)) {
        return malformed("member page has a value out of range");
    }
    return page;
}

} // namespace peridot
