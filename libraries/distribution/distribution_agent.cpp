#include "distribution/distribution_agent.h"

#include "distribution/distribution_counters.h"
#include "distribution/distribution_implementation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace peridot {

namespace {

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

} // namespace

distribution_agent::implementation::implementation(asio::io_context& io, snapshot_store& store,
                                                   distribution_identity who,
                                                   distribution_sources from,
                                                   distribution_peers fleet,
                                                   distribution_counters& totals)
    : context(io)
    , snapshots(store)
    , identity(std::move(who))
    , sources(std::move(from))
    , peers(std::move(fleet))
    , counters(totals)
    , fetcher(this->identity.scope, this->sources, totals, make_random_source(),
              [this](error const& reason) { this->refuse(reason, this->fetched_version); })
    , wanted(io)
    , started(std::chrono::steady_clock::now()) {}

void distribution_agent::implementation::start() {
    auto const self = this->shared_from_this();
    this->last_tick = current_time().time_since_epoch().count();
    asio::co_spawn(this->context, tick_loop(self), asio::detached);
    asio::co_spawn(this->context, poll_loop(self), asio::detached);
    asio::co_spawn(this->context, adopt_loop(self), asio::detached);
}

void distribution_agent::implementation::stop() {
    this->is_stopped = true;
    this->wanted.cancel();
}

void distribution_agent::implementation::receive(std::string_view bytes, std::string_view sender) {
    auto const now = current_time();
    this->observe(now);
    // Datagrams that waited in the socket during a freeze name ages that are too low.
    bool const is_age_doubtful =
        this->confirmation && this->confirmation->cause() == confirmation_reason::freeze;
    auto const heard =
        is_age_doubtful ? decode_head_announcement(bytes) : this->gossip.receive(bytes, now);
    if (!is_ok(heard)) {
        this->refuse(failure(heard), 0);
        return;
    }
    this->hear(value(heard).version, value(heard).manifest_hash, sender);
}

distribution_report distribution_agent::implementation::report() const {
    distribution_report made;
    made.head_seen = this->seen.version;
    made.head_seen_manifest = this->seen.manifest_hash;
    made.platform_head = this->platform_head.version;
    made.is_platform_older = this->platform_read && this->platform_head.version < this->held();
    made.confirmation_age = this->gossip.confirmation_age(current_time());
    made.is_watcher = this->is_elected;
    made.is_confirmed = !this->confirmation;
    made.freezes = this->freezes;
    made.refusals = this->refusals.totals();
    return made;
}

std::string distribution_agent::implementation::announcement() const {
    return encode(this->gossip.current(current_time()));
}

distribution_agent::distribution_agent(asio::io_context& context, snapshot_store& snapshots,
                                       distribution_identity identity, distribution_sources sources,
                                       distribution_peers peers, distribution_counters& counters)
    : self(std::make_shared<implementation>(context, snapshots, std::move(identity),
                                            std::move(sources), std::move(peers), counters)) {}

distribution_agent::~distribution_agent() {
    this->stop();
}

void distribution_agent::set_ready_handler(std::function<void(bool is_ready)> handler) {
    this->self->on_ready = std::move(handler);
}

void distribution_agent::start() {
    this->self->start();
}

void distribution_agent::stop() {
    this->self->stop();
}

std::string distribution_agent::announcement() const {
    return this->self->announcement();
}

void distribution_agent::receive(std::string_view bytes, std::string_view sender) {
    this->self->receive(bytes, sender);
}

rcu_cell<peer_content> const& distribution_agent::content() const {
    return this->self->content;
}

bool distribution_agent::is_stalled(steady_time now) const {
    return now.time_since_epoch().count() - this->self->last_tick.load() >
           std::chrono::duration_cast<steady_time::duration>(freeze_gap).count();
}

distribution_report distribution_agent::report() const {
    return this->self->report();
}

} // namespace peridot
