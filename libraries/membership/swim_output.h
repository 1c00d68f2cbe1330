#pragma once

#include "membership/bucket_set.h"
#include "membership/gossip_address.h"
#include "membership/member_update.h"

#include <cstdint>
#include <string>

namespace peridot {

/// A datagram to be sent by the caller.
struct outgoing_datagram {
    gossip_address destination;
    std::string bytes;
};

/// A change of a member's record or liveness.
struct membership_change {
    member_record record;
    liveness state = liveness::alive;
};

/// The member table differs from a peer's; the caller fetches the peer's pages of these buckets and
/// passes them to merge_page().
struct exchange_request {
    std::string instance;
    std::string ip;
    std::uint16_t peer_port = 0;
    bucket_set buckets;
};

/// How records that differ from a peer's are fetched.
enum class exchange_transport : std::uint8_t {
    /// The protocol requests pages in datagrams.
    datagrams,
    /// The protocol issues exchange requests; the node fetches pages over HTTP.
    external,
};

/// Protocol event counts since construction.
struct swim_counters {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    /// Datagrams and pages rejected as malformed.
    std::uint64_t malformed = 0;
    /// Pings addressed to another instance, such as the previous user of this address.
    std::uint64_t misdirected = 0;
    std::uint64_t probes = 0;
    std::uint64_t probes_failed = 0;
    /// Suspicions raised by this member itself.
    std::uint64_t suspicions = 0;
    /// Deaths declared by this member itself.
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t freezes = 0;
    std::uint64_t exchanges = 0;
};

} // namespace peridot
