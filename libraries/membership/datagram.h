#pragma once

#include "membership/attachment.h"
#include "membership/bucket_set.h"
#include "membership/gossip_address.h"
#include "membership/member_update.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

/// The type of a request or response datagram.
enum class datagram_kind : std::uint8_t {
    /// Carries only updates or attachments; expects no response.
    push = 0,
    /// Requests an ack from `target`. An empty target matches any member (used to join).
    ping = 1,
    /// Acknowledges a ping; `target` is set when an intermediary relays that member's ack.
    ack = 2,
    /// Requests that an intermediary ping `target` at `target_address`.
    ping_request = 3,
    /// The intermediary is reachable but received no ack from the target.
    nack = 4,
    /// The digest of the whole member table, or, in a response, the digest of each bucket.
    digest = 5,
    /// Requests the members of `buckets` after the cursor `after`.
    page_request = 6,
    /// Members of `buckets`; `after` is the cursor of the next page, empty on the last page.
    page = 7,
};

/// A decoded datagram. Every datagram holds its sender and the version of the sender's record.
struct datagram {
    datagram_kind kind = datagram_kind::push;
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Correlates an ack or nack with its ping.
    std::uint64_t probe = 0;
    std::string target;
    gossip_address target_address;
    /// Set if the sender does not hold the receiver's current record.
    bool record_wanted = false;
    std::vector<member_update> updates;
    std::vector<attachment> attachments;
    /// Digest of the whole member table; zero if absent.
    std::uint64_t digest = 0;
    /// Digest of each bucket of the member table, or empty.
    std::vector<std::uint32_t> bucket_digests;
    bucket_set buckets;
    std::string after;
};

} // namespace peridot
