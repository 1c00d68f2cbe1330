#pragma once

#include "configuration/configuration_head.h"
#include "configuration/snapshot_store.h"
#include "core/random_source.h"
#include "distribution/distribution_agent.h"
#include "distribution/freeze_detector.h"
#include "distribution/head_candidates.h"
#include "distribution/head_gossip.h"
#include "distribution/head_poll_policy.h"
#include "distribution/refusal_log.h"
#include "distribution/version_confirmation.h"
#include "distribution/version_fetcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace peridot {

namespace asio = boost::asio;

/// The state of distribution at one node and the coroutines that work on it.
class distribution_agent::implementation
    : public std::enable_shared_from_this<distribution_agent::implementation> {
public:
    implementation(asio::io_context& io, snapshot_store& store, distribution_identity who,
                   distribution_sources from, distribution_peers fleet,
                   distribution_counters& totals);

    void start();
    void stop();
    void receive(std::string_view bytes, std::string_view sender);
    distribution_report report() const;
    std::string announcement() const;

    static asio::awaitable<void> tick_loop(std::shared_ptr<implementation> self);
    static asio::awaitable<void> poll_loop(std::shared_ptr<implementation> self);
    static asio::awaitable<void> adopt_loop(std::shared_ptr<implementation> self);
    // Asks a few peers of each zone for the version they hold.
    static asio::awaitable<void> ask_peers(std::shared_ptr<implementation> self);

    std::function<void(bool)> on_ready;
    head_gossip gossip;
    rcu_cell<peer_content> content;
    std::atomic<steady_time::rep> last_tick{0};

private:
    std::uint64_t held() const;
    void observe(steady_time now);
    void update_role();
    void push();
    asio::awaitable<void> poll();
    void platform_failed(error const& reason);
    bool take_head(table_row const& row);
    // Takes note of a version; an empty teller stands for the platform.
    void hear(std::uint64_t version, std::string const& manifest_hash, std::string_view teller);
    asio::awaitable<void> adopt(head_candidate candidate);
    // Everything that follows a newly held version.
    void announce(configuration_snapshot const& applied);
    // The platform confirms the held version if it named nothing newer.
    void settle();
    void check_confirmation(peers_asked asked);
    void finish_asking(std::size_t members);
    void update_ready();
    void refuse(error const& reason, std::uint64_t version);

    asio::io_context& context;
    snapshot_store& snapshots;
    distribution_identity identity;
    distribution_sources sources;
    distribution_peers peers;
    distribution_counters& counters;
    version_fetcher fetcher;
    /// Cancelled when a candidate arrives.
    asio::steady_timer wanted;
    random_source random = make_random_source();
    head_poll_policy policy;
    head_candidates candidates;
    freeze_detector freeze;
    refusal_log refusals;
    std::optional<version_confirmation> confirmation{confirmation_reason::start};
    steady_time confirmation_began;
    steady_time started;
    steady_time next_ask;
    unsigned ask_failures = 0;
    std::shared_ptr<endpoint_directory const> elected_from;
    configuration_head platform_head;
    configuration_head seen;
    std::uint64_t platform_revision = 0;
    /// Revision of the head row that is fully dealt with.
    std::uint64_t head_revision = 0;
    std::uint64_t fetched_version = 0;
    std::uint64_t freezes = 0;
    /// When the last read that the platform answered began.
    std::optional<steady_time> platform_read;
    bool is_platform_reachable = true;
    bool is_elected = false;
    bool is_asking = false;
    bool was_ready = false;
    bool is_stopped = false;
};

} // namespace peridot
