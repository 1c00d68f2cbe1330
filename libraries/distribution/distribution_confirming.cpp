// How a node confirms that the version it holds is current, and notices that it was frozen.
#include "core/log.h"
#include "distribution/distribution_counters.h"
#include "distribution/distribution_implementation.h"
#include "distribution/peer_query.h"
#include "distribution/watcher_election.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridot {

namespace {

// Membership needs this long to find members through seeds; before, "all reachable" says little.
constexpr milliseconds start_grace{3000};
constexpr milliseconds longest_ask_backoff{5000};
constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

} // namespace

asio::awaitable<void>
distribution_agent::implementation::tick_loop(std::shared_ptr<implementation> self) {
    asio::steady_timer timer(self->context);
    while (!self->is_stopped) {
        auto const now = current_time();
        self->observe(now);
        self->update_role();
        if (self->gossip.take_push_round()) {
            self->push();
        }
        if (self->confirmation && self->confirmation->wants_peers() && !self->is_asking &&
            now >= self->next_ask) {
            self->is_asking = true;
            asio::co_spawn(self->context, ask_peers(self), asio::detached);
        }
        self->last_tick = now.time_since_epoch().count();
        timer.expires_after(control_tick);
        co_await timer.async_wait(to_tuple);
    }
}

asio::awaitable<void>
distribution_agent::implementation::ask_peers(std::shared_ptr<implementation> self) {
    auto const generation = self->freezes;
    auto const directory = self->peers.directory();
    auto const asked = choose_by_zone(directory->members(), self->identity, self->random);
    std::string answered_zone;
    for (auto const& peer : asked) {
        if (peer->availability_zone == answered_zone) {
            continue;
        }
        ++self->counters.peer_fetches;
        auto const head = co_await ask_head(self->sources, *peer);
        if (!self->confirmation || self->freezes != generation || self->is_stopped) {
            break;
        }
        if (!is_ok(head)) {
            ++self->counters.peer_failures;
            continue;
        }
        answered_zone = peer->availability_zone;
        self->confirmation->record_peer(answered_zone, value(head).version);
        self->hear(value(head).version, value(head).manifest_hash, peer->instance);
        if (self->confirmation->cause() == confirmation_reason::freeze) {
            break;
        }
    }
    self->is_asking = false;
    self->finish_asking(directory->members().size());
}

void distribution_agent::implementation::observe(steady_time now) {
    if (!this->freeze.observe(now)) {
        return;
    }
    ++this->freezes;
    log::write(log::level::warning, "process_was_frozen",
               {{"version", static_cast<std::int64_t>(this->held())}});
    this->gossip.forget_confirmation();
    auto const reason =
        this->snapshots.current() ? confirmation_reason::freeze : confirmation_reason::start;
    this->confirmation.emplace(reason);
    this->confirmation_began = now;
    this->next_ask = now;
    this->ask_failures = 0;
    this->update_ready();
}

void distribution_agent::implementation::update_role() {
    auto const directory = this->peers.directory();
    if (directory != this->elected_from) {
        this->elected_from = directory;
        this->is_elected = is_watcher(directory->members(), this->identity.availability_zone,
                                      this->identity.instance);
    }
}

void distribution_agent::implementation::push() {
    this->peers.push(this->announcement(), head_push_fan_out);
}

void distribution_agent::implementation::check_confirmation(peers_asked asked) {
    if (this->confirmation && this->confirmation->is_confirmed(this->held(), asked)) {
        bool const is_by_platform = this->confirmation->is_by_platform();
        bool const is_limited = asked == peers_asked::all && !is_by_platform &&
                                this->confirmation->zones() < 2 &&
                                this->confirmation->cause() == confirmation_reason::start;
        log::write(is_limited ? log::level::warning : log::level::info,
                   is_limited ? "version_confirmed_by_all_reachable" : "version_confirmed",
                   {{"version", static_cast<std::int64_t>(this->held())},
                    {"by_platform", is_by_platform},
                    {"zones", static_cast<std::int64_t>(this->confirmation->zones())}});
        this->confirmation.reset();
    }
    this->update_ready();
}

void distribution_agent::implementation::finish_asking(std::size_t members) {
    bool const is_complete = members > 1 && current_time() - this->started > start_grace;
    this->check_confirmation(is_complete ? peers_asked::all : peers_asked::some);
    auto const bound = std::min(longest_ask_backoff, control_tick * (2U << this->ask_failures));
    this->ask_failures = std::min(this->ask_failures + 1, 8U);
    std::uniform_int_distribution<std::int64_t> jitter(0, bound.count());
    this->next_ask = current_time() + milliseconds(jitter(this->random));
}

void distribution_agent::implementation::update_ready() {
    bool const is_ready = !this->confirmation && this->snapshots.current() != nullptr;
    if (is_ready != this->was_ready) {
        this->was_ready = is_ready;
        if (this->on_ready) {
            this->on_ready(is_ready);
        }
    }
}

} // namespace peridot
