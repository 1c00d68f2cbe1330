#pragma once

#include "core/rcu_cell.h"
#include "core/result.h"
#include "membership/endpoint_directory.h"
#include "membership/swim_protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace peridot {

/// Runs the membership protocol over UDP on one io_context. All functions except
/// directory().load() must be called from the thread that runs it; no locks are used.
class membership_agent {
public:
    using change_handler = std::function<void(std::vector<membership_change> const&)>;

    /// Binds to the IP address and gossip port of the node's own record; port 0 selects a free
    /// port. Returns address_unavailable if that fails.
    static result<std::unique_ptr<membership_agent>>
    create(boost::asio::io_context& context, member_record own,
           swim_settings const& settings = swim_settings());

    ~membership_agent();
    membership_agent(membership_agent const&) = delete;
    membership_agent& operator=(membership_agent const&) = delete;
    membership_agent(membership_agent&&) = delete;
    membership_agent& operator=(membership_agent&&) = delete;

    /// Starts receiving datagrams and ticking every 100 ms.
    void start();

    /// Closes the socket; no datagram is sent and no handler is called afterwards.
    void stop();

    /// The bound gossip port.
    std::uint16_t port() const;

    /// The present members, published at most once per tick; load() is thread-safe.
    rcu_cell<endpoint_directory> const& directory() const;

    /// Sets the handler that is called after a changed directory has been published.
    void set_change_handler(change_handler handler);

    /// Sets the handler that is called once if an instance of the same name with a higher
    /// incarnation supersedes this one.
    void set_superseded_handler(std::function<void()> handler);

    /// Sets the handler that fetches member pages, for example over HTTP; without a handler the
    /// protocol fetches them in datagrams.
    void set_exchange_handler(std::function<void(exchange_request const&)> handler);

    /// As in swim_protocol; resulting datagrams are sent immediately.
    void set_state(member_state state);
    void set_target(std::string_view service, std::string_view target_version, std::uint32_t slots);
    void set_incarnation(std::uint64_t incarnation);
    void set_peer_port(std::uint16_t port);
    void add_seed(std::string const& ip, std::uint16_t port);
    void set_attachment_provider(std::uint32_t kind, attachment_provider provider);
    status send_attachment(std::string_view instance, attachment const& item);
    std::size_t push_attachment(attachment const& item, std::size_t count);
    std::string page(bucket_set const& buckets, std::string_view after) const;
    result<std::string> merge_page(std::string_view bytes);

    /// Returns the protocol for read-only queries.
    swim_protocol const& protocol() const;

    /// For tests of partitions: drops datagrams to and from these addresses.
    void set_unreachable(std::set<gossip_address> addresses);

private:
    struct implementation;
    explicit membership_agent(std::shared_ptr<implementation> made);
    /// Shared with the handlers that are pending in the io_context.
    std::shared_ptr<implementation> hidden;
};

} // namespace peridot
