#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "core/time.h"
#include "membership/attachment_registry.h"
#include "membership/swim_output.h"
#include "membership/swim_settings.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// The membership protocol, SWIM with Lifeguard, of one member as a state machine without I/O.
/// After each input the caller takes the outputs. A member whose incarnation is superseded falls
/// silent.
class swim_protocol {
public:
    swim_protocol(member_record own, swim_settings const& settings, random_source random,
                  steady_time now);
    ~swim_protocol();
    swim_protocol(swim_protocol const&) = delete;
    swim_protocol& operator=(swim_protocol const&) = delete;
    swim_protocol(swim_protocol&&) noexcept;
    swim_protocol& operator=(swim_protocol&&) noexcept;

    /// Runs what is due; called every 100 ms. After a gap longer than settings.freeze_threshold no
    /// earlier timer counts against others.
    void tick(steady_time now);

    /// Takes in a datagram; datagram_malformed if it was refused, member_superseded if this
    /// instance was replaced.
    status receive(gossip_address const& from, std::string_view bytes, steady_time now);

    /// Changes the state in the node's own record. Draining and left are pushed to all at once;
    /// after left the caller goes on ticking for about 500 ms before it stops.
    void set_state(member_state state, steady_time now);

    /// Changes the announced target.
    void set_target(std::string_view service, std::string_view target_version, std::uint32_t slots,
                    steady_time now);

    /// Takes the revision of the member's row as its incarnation, once the row is written.
    void set_incarnation(std::uint64_t incarnation, steady_time now);

    /// Sets where the others reach this member, once the ports are bound.
    void set_ports(std::uint16_t peer_port, std::uint16_t gossip_port, steady_time now);

    /// Adds an address to join through; asked as long as no other member is known.
    void add_seed(gossip_address const& seed);

    /// Registers a subsystem whose state travels with every datagram.
    void set_attachment_provider(std::uint32_t kind, attachment_provider provider);

    /// Sends an attachment to one member now; member_unknown if it is not present.
    status send_attachment(std::string_view instance, attachment const& item);

    /// Sends an attachment to up to `count` random members now; returns to how many.
    std::size_t push_attachment(attachment const& item, std::size_t count);

    /// Chooses who fetches differences; datagrams unless set.
    void set_exchange_transport(exchange_transport transport);

    /// One page of the member list, under 64 KiB, for a peer that fetches these buckets.
    std::string page(bucket_set const& buckets, std::string_view after, steady_time now) const;

    /// Merges a page of another member's list; the cursor of the next page, empty on the last.
    result<std::string> merge_page(std::string_view bytes, steady_time now);

    /// Outputs since the last call.
    std::vector<outgoing_datagram> take_outgoing();
    std::vector<membership_change> take_changes();
    std::vector<exchange_request> take_exchange_requests();

    member_record const& own() const;

    /// The members that are present, this one included.
    std::vector<member_record> present() const;

    /// What is believed of a member; nothing for a stranger.
    std::optional<liveness> state_of(std::string_view instance) const;

    /// The record held of a member; nothing for a stranger.
    std::optional<member_record> record_of(std::string_view instance) const;

    /// Order-independent hash of the members that are present and their versions.
    std::uint64_t digest() const;

    /// Whether an instance of the same name with a higher incarnation has taken over.
    bool is_superseded() const;

    swim_counters const& counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> hidden;
};

} // namespace peridot
