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

/// The membership protocol (SWIM with Lifeguard) of one member, as a state machine without I/O.
/// After each input the caller collects the outputs. A member whose incarnation is superseded stops
/// sending.
class swim_protocol {
public:
    swim_protocol(member_record own, swim_settings const& settings, random_source random,
                  steady_time now);
    ~swim_protocol();
    swim_protocol(swim_protocol const&) = delete;
    swim_protocol& operator=(swim_protocol const&) = delete;
    swim_protocol(swim_protocol&&) noexcept;
    swim_protocol& operator=(swim_protocol&&) noexcept;

    /// Runs due timers; must be called every 100 ms. After a gap longer than
    /// settings.freeze_threshold, timers started earlier do not count against other members.
    void tick(steady_time now);

    /// Processes a datagram; returns datagram_malformed if it was rejected and member_superseded if
    /// this instance has been replaced.
    status receive(gossip_address const& from, std::string_view bytes, steady_time now);

    /// Changes the state in the node's own record. Draining and left are pushed immediately; after
    /// left the caller must continue to tick for about 500 ms before it stops.
    void set_state(member_state state, steady_time now);

    /// Changes the announced target.
    void set_target(std::string_view service, std::string_view target_version, std::uint32_t slots,
                    steady_time now);

    /// Sets the revision of the member's row as its incarnation, once the row has been written.
    void set_incarnation(std::uint64_t incarnation, steady_time now);

    /// Sets the ports at which other members reach this one, once they are bound.
    void set_ports(std::uint16_t peer_port, std::uint16_t gossip_port, steady_time now);

    /// Adds an address to join through; it is pinged until another member is discovered.
    void add_seed(gossip_address const& seed);

    /// Registers a subsystem whose state is attached to outgoing probes and acks.
    void set_attachment_provider(std::uint32_t kind, attachment_provider provider);

    /// Sends an attachment to one member immediately; returns member_unknown if it is not present.
    status send_attachment(std::string_view instance, attachment const& item);

    /// Sends an attachment to up to `count` random members immediately; returns their number.
    std::size_t push_attachment(attachment const& item, std::size_t count);

    /// Selects how differing records are fetched; the default is datagrams.
    void set_exchange_transport(exchange_transport transport);

    /// Returns one page of the member list, under 64 KiB, for a peer that fetches these buckets.
    std::string page(bucket_set const& buckets, std::string_view after, steady_time now) const;

    /// Merges a page of a peer's list; returns the cursor of the next page, empty on the last page.
    result<std::string> merge_page(std::string_view bytes, steady_time now);

    /// Return and clear the outputs since the last call.
    std::vector<outgoing_datagram> take_outgoing();
    std::vector<membership_change> take_changes();
    std::vector<exchange_request> take_exchange_requests();

    member_record const& own() const;

    /// Returns the present members, including this one.
    std::vector<member_record> present() const;

    /// Returns the liveness of a member; nothing for an unknown member.
    std::optional<liveness> state_of(std::string_view instance) const;

    /// Returns the record of a member; nothing for an unknown member.
    std::optional<member_record> record_of(std::string_view instance) const;

    /// Returns an order-independent hash of the present members and their versions.
    std::uint64_t digest() const;

    /// Returns whether an instance of the same name with a higher incarnation has replaced this
    /// one.
    bool is_superseded() const;

    swim_counters const& counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> hidden;
};

} // namespace peridot
