#pragma once

#include "membership/attachment_registry.h"
#include "membership/datagram.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/swim_protocol.h"
#include "membership/update_queue.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/// Implementation of swim_protocol. Its functions are defined in swim_probing.cpp,
/// swim_receiving.cpp, swim_updates.cpp and swim_exchange.cpp.
struct swim_protocol::implementation {
    enum class probe_purpose : std::uint8_t {
        /// Failure detection: a failed probe raises a suspicion.
        detection,
        /// Checks whether a dead member has recovered.
        revival,
    };

    /// A ping that has not been acknowledged yet.
    struct pending_probe {
        std::string target;
        probe_purpose purpose = probe_purpose::detection;
        steady_time ping_requests_due;
        steady_time fails_at;
        bool ping_requests_sent = false;
        std::size_t intermediaries = 0;
        std::size_t nacks = 0;
    };

    /// A ping sent on behalf of another member.
    struct relay {
        gossip_address requester;
        std::uint64_t requester_probe = 0;
        std::string target;
        steady_time fails_at;
    };

    /// An ongoing fetch of member pages in datagrams.
    struct page_fetch {
        gossip_address peer;
        std::string instance;
        bucket_set buckets;
        std::string after;
        steady_time repeat_at;
        unsigned attempts = 0;
        /// Sent with the first request, so that the peer can detect which records it is missing.
        std::vector<std::uint32_t> own_digests;
    };

    implementation(member_record own, swim_settings const& chosen, random_source source,
                   steady_time now);

    // Probing.
    void tick(steady_time now);
    void recover_from_freeze(steady_time now, nanoseconds gap);
    void check_probes(steady_time now);
    void check_relays(steady_time now);
    void check_suspicions(steady_time now);
    void start_probes(steady_time now);
    void start_verifications(steady_time now);
    void start_probe(member_entry const& entry, probe_purpose purpose, steady_time now);
    void send_ping_requests(std::uint64_t number, pending_probe& probe);
    void fail_probe(pending_probe const& probe, steady_time now);
    void push_urgent();
    void join(steady_time now);
    void remove_tombstones(steady_time now);

    // Receiving.
    status receive(gossip_address const& from, std::string_view bytes, steady_time now);
    void process_datagram(gossip_address const& from, datagram const& received, steady_time now);
    void handle_ping(gossip_address const& from, datagram const& received);
    void handle_ack(gossip_address const& from, datagram const& received);
    void handle_relayed(relay const& relayed, datagram const& received);
    void handle_ping_request(gossip_address const& from, datagram const& received, steady_time now);
    void handle_nack(datagram const& received);
    bool lacks_record_of(datagram const& received) const;
    void append_state_of_sender(datagram_writer& writer, datagram const& received) const;
    void push_own_record(gossip_address const& to);

    // Updates.
    void apply_update(member_update const& update, steady_time now);
    void apply_page_update(member_update const& update, steady_time now);
    void handle_self_update(member_update const& update, steady_time now);
    void suspect(std::string const& instance, steady_time now);
    void declare_dead(std::string const& instance, steady_time now);
    void record_change(std::string const& instance, bool was_present, steady_time now);
    void schedule_verification(std::string const& instance);
    void announce(member_record const& own, steady_time now);
    void supersede();
    void handle_newer_incarnation(member_record const& newer, steady_time now);

    // Exchange.
    void compare_digests(steady_time now);
    void handle_digest(gossip_address const& from, datagram const& received, steady_time now);
    void handle_page_request(gossip_address const& from, datagram const& received, steady_time now);
    void handle_page(datagram const& received, steady_time now);
    void start_fetch(page_fetch fetch, steady_time now);
    void request_page(steady_time now);
    void check_fetch(steady_time now);
    bucket_set differing_buckets(std::vector<std::uint32_t> const& theirs);
    std::string page(bucket_set const& buckets, std::string_view after, steady_time now) const;
    member_update page_update(member_entry const& entry, steady_time now) const;

    // Sending.
    datagram header(datagram_kind kind) const;
    void send(gossip_address const& to, datagram_writer& writer);
    void send_raw(gossip_address const& to, std::string const& bytes);
    member_update own_update() const;
    member_update claim(member_entry const& entry, liveness state) const;
    std::size_t members() const { return this->table.peers().size() + 1; }

    swim_settings settings;
    random_source random;
    member_table table;
    update_queue queue;
    attachment_registry attachments;
    local_health health;
    swim_counters counters;
    exchange_transport transport = exchange_transport::datagrams;
    bool superseded = false;

    std::map<std::uint64_t, pending_probe> probes;
    std::map<std::uint64_t, relay> relays;
    std::uint64_t next_probe_number;
    /// Members whose state differs between this table and a peer's; they are probed first.
    std::deque<std::string> verifications;
    std::optional<page_fetch> fetch;
    /// Set after the first synchronization with a peer; until then all differing buckets are
    /// fetched at once.
    bool has_synchronized = false;
    std::vector<gossip_address> seeds;
    unsigned join_attempts = 0;
    /// Set while processing a datagram that contains a false claim about this member.
    bool refutation_due = false;

    steady_time last_tick;
    steady_time next_probe;
    steady_time next_dead_probe;
    steady_time next_digest;
    steady_time next_join;
    steady_time next_tombstone_removal;

    std::vector<outgoing_datagram> outgoing;
    std::vector<membership_change> changes;
    std::vector<exchange_request> exchange_requests;
};

/// Returns the address at which a member receives datagrams.
inline gossip_address address_of(member_record const& record) {
    return {record.ip, record.gossip_port};
}

} // namespace peridot
