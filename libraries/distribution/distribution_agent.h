#pragma once

#include "core/rcu_cell.h"
#include "core/time.h"
#include "distribution/distribution_identity.h"
#include "distribution/distribution_peers.h"
#include "distribution/distribution_report.h"
#include "distribution/distribution_sources.h"
#include "distribution/peer_content.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace peridot {

struct distribution_counters;
class snapshot_store;

/// Keeps a node at the newest configuration version: learns of it from the platform and from peers,
/// fetches it, applies it whole and tells others. A node announces only what it holds, so whoever
/// announces a version can serve it. All functions but content() and is_stalled() are called from
/// the thread that runs the io_context.
class distribution_agent {
public:
    /// What is passed by reference must outlive the agent and its io_context's handlers.
    distribution_agent(boost::asio::io_context& context, snapshot_store& snapshots,
                       distribution_identity identity, distribution_sources sources,
                       distribution_peers peers, distribution_counters& counters);
    ~distribution_agent();
    distribution_agent(distribution_agent const&) = delete;
    distribution_agent& operator=(distribution_agent const&) = delete;
    distribution_agent(distribution_agent&&) = delete;
    distribution_agent& operator=(distribution_agent&&) = delete;

    /// Called with whether the node holds a confirmed version, at every change.
    void set_ready_handler(std::function<void(bool is_ready)> handler);

    void start();
    void stop();

    /// The bytes to attach to a datagram that leaves now.
    std::string announcement() const;

    /// Takes the untrusted bytes of another node's announcement.
    void receive(std::string_view bytes, std::string_view sender);

    /// What peers may fetch; load() is safe from any thread.
    rcu_cell<peer_content> const& content() const;

    /// Whether the control thread has not ticked for longer than a freeze, as just after the
    /// process was continued. Safe from any thread.
    bool is_stalled(steady_time now) const;

    distribution_report report() const;

private:
    class implementation;
    /// Shared with the coroutines that run in the io_context.
    std::shared_ptr<implementation> self;
};

} // namespace peridot
