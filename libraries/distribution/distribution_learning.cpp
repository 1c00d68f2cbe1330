// How a node learns of a version and applies it.
#include "core/log.h"
#include "distribution/distribution_counters.h"
#include "distribution/distribution_implementation.h"
#include "distribution/peer_query.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridot {

namespace {

constexpr milliseconds head_timeout{2000};
constexpr milliseconds fetch_timeout{15'000};
constexpr milliseconds watcher_check{20};
constexpr milliseconds other_check{100};
constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

} // namespace

asio::awaitable<void>
distribution_agent::implementation::poll_loop(std::shared_ptr<implementation> self) {
    asio::steady_timer timer(self->context);
    while (!self->is_stopped) {
        auto const now = current_time();
        auto const directory = self->peers.directory();
        head_poll_situation const situation{self->is_elected, self->gossip.confirmation_age(now),
                                            directory->members().size()};
        if (self->policy.is_due(situation, now, self->random)) {
            co_await self->poll();
        }
        timer.expires_after(self->is_elected ? watcher_check : other_check);
        co_await timer.async_wait(to_tuple);
    }
}

asio::awaitable<void>
distribution_agent::implementation::adopt_loop(std::shared_ptr<implementation> self) {
    while (!self->is_stopped) {
        auto const next = self->candidates.next(current_time());
        if (next) {
            co_await self->adopt(*next);
            continue;
        }
        self->wanted.expires_at(
            self->candidates.next_due().value_or(asio::steady_timer::time_point::max()));
        co_await self->wanted.async_wait(to_tuple);
    }
}

std::uint64_t distribution_agent::implementation::held() const {
    auto const current = this->snapshots.current();
    return current ? current->version() : 0;
}

asio::awaitable<void> distribution_agent::implementation::poll() {
    auto const began = current_time();
    ++this->counters.platform_reads;
    auto const row = co_await this->sources.read_head(this->head_revision, began + head_timeout);
    if (!is_ok(row)) {
        this->platform_failed(failure(row));
        co_return;
    }
    if (!this->is_platform_reachable) {
        this->is_platform_reachable = true;
        log::write(log::level::info, "platform_reachable");
    }
    auto const& changed = value(row);
    if (changed && !this->take_head(*changed)) {
        this->policy.record_failure(current_time(), this->random);
        co_return;
    }
    this->platform_read = began;
    if (this->confirmation && began >= this->confirmation_began) {
        this->confirmation->record_platform(this->platform_head.version);
    }
    // A node that is no watcher need not read again soon while it cannot apply the head.
    if (this->held() < this->platform_head.version && !this->is_elected) {
        this->policy.record_failure(current_time(), this->random);
    } else {
        this->policy.record_success(current_time());
    }
    this->settle();
}

void distribution_agent::implementation::platform_failed(error const& reason) {
    ++this->counters.platform_failures;
    this->policy.record_failure(current_time(), this->random);
    if (this->is_platform_reachable) {
        this->is_platform_reachable = false;
        log::write(log::level::warning, "platform_unreachable", {{"reason", describe(reason)}});
    }
    if (this->confirmation) {
        this->confirmation->record_platform_failure();
    }
}

bool distribution_agent::implementation::take_head(table_row const& row) {
    configuration_head head;
    if (row.revision != 0) {
        auto const parsed = parse_head(row.value);
        if (!is_ok(parsed)) {
            this->refuse(failure(parsed), 0);
            return false;
        }
        head = value(parsed);
    }
    this->platform_head = head;
    this->platform_revision = row.revision;
    auto const current = this->held();
    if (head.version < current) {
        this->refuse({result_code::head_older_than_held,
                      "the platform's head is version " + std::to_string(head.version) +
                          ", the held one " + std::to_string(current)},
                     head.version);
        return true;
    }
    this->hear(head.version, head.manifest_hash, {});
    return true;
}

void distribution_agent::implementation::hear(std::uint64_t version,
                                              std::string const& manifest_hash,
                                              std::string_view teller) {
    if (version > this->seen.version) {
        this->seen.version = version;
        this->seen.manifest_hash = manifest_hash;
    }
    auto const current = this->snapshots.current();
    auto const held_version = current ? current->version() : 0;
    if (current && version == held_version && manifest_hash != current->manifest_hash()) {
        this->refuse(
            {result_code::version_conflict,
             "version " + std::to_string(version) + " is announced with manifest " + manifest_hash},
            version);
    }
    if (version <= held_version) {
        return;
    }
    if (teller.empty()) {
        this->candidates.offer_from_platform(version, manifest_hash);
    } else {
        this->candidates.offer(version, manifest_hash, teller);
    }
    this->wanted.cancel();
}

asio::awaitable<void> distribution_agent::implementation::adopt(head_candidate candidate) {
    auto const began = current_time();
    fetch_request request;
    request.version = candidate.version;
    request.manifest_hash = candidate.manifest_hash;
    request.held = this->snapshots.current();
    request.peers = choose_sources(this->peers.directory()->members(), this->identity,
                                   candidate.tellers, this->random);
    request.access = candidate.is_from_platform ? store_access::at_once : store_access::jittered;
    this->fetched_version = candidate.version;
    auto const fetched = co_await this->fetcher.fetch(std::move(request), began + fetch_timeout);
    status const applied =
        is_ok(fetched) ? this->snapshots.apply(value(fetched)) : failure(fetched);
    if (!is_ok(applied)) {
        this->refuse(failure(applied), candidate.version);
        this->candidates.record_failure(candidate.version, candidate.manifest_hash, current_time(),
                                        this->random);
        // A head that cannot be loaded must not keep a node from starting on its peers' version.
        if (this->confirmation && candidate.is_from_platform) {
            this->confirmation->record_unusable(candidate.version);
        }
        co_return;
    }
    log::write(
        log::level::info, "version_applied",
        {{"version", static_cast<std::int64_t>(candidate.version)},
         {"fetch_ms", std::chrono::duration_cast<milliseconds>(current_time() - began).count()},
         {"from_platform", candidate.is_from_platform}});
    this->announce(*value(fetched));
}

void distribution_agent::implementation::announce(configuration_snapshot const& applied) {
    this->candidates.drop_up_to(applied.version());
    auto const former = this->content.load();
    auto next = std::make_shared<peer_content>();
    next->version = applied.version();
    next->manifest_hash = applied.manifest_hash();
    next->current = std::make_shared<manifest const>(applied.manifest_content());
    next->chunks = this->fetcher.retain(applied);
    if (former) {
        next->earlier = former->earlier;
        next->earlier.emplace(former->version, former->current);
        if (next->earlier.size() > earlier_manifests) {
            next->earlier.erase(next->earlier.begin());
        }
    }
    this->content.replace(std::move(next));
    this->gossip.hold(applied.version(), applied.manifest_hash(),
                      this->peers.directory()->members().size());
    this->settle();
    if (this->gossip.take_push_round()) {
        this->push();
    }
}

void distribution_agent::implementation::settle() {
    if (this->platform_read && this->held() >= this->platform_head.version) {
        this->gossip.confirm(*this->platform_read);
        this->head_revision = this->platform_revision;
    }
    this->check_confirmation(peers_asked::some);
}

void distribution_agent::implementation::refuse(error const& reason, std::uint64_t version) {
    if (this->refusals.record(reason.code, version)) {
        log::write(log::level::warning, "version_not_applied",
                   {{"version", static_cast<std::int64_t>(version)},
                    {"held", static_cast<std::int64_t>(this->held())},
                    {"reason", describe(reason)}});
    }
}

} // namespace peridot
