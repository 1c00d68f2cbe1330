#include "sidecar/quota_agent.h"

#include "core/log.h"
#include "core/random_source.h"
#include "mesh/mesh_configuration.h"
#include "mesh/workspace.h"
#include "observability/counter.h"
#include "observability/gauge.h"
#include "quotas/lender_choice.h"
#include "quotas/pool_order.h"
#include "quotas/quota_account.h"
#include "quotas/quota_message.h"
#include "quotas/quota_pool.h"
#include "sidecar/sidecar_metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <set>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

// Pools share the load of lending; each needs a delegation of every node once in a while.
constexpr std::uint32_t pool_count = 4;
constexpr milliseconds tick_period{50};
constexpr milliseconds delegation_renewal{250};
// Datagrams that waited longer are discarded; less than the margin of a delegation.
constexpr milliseconds max_receive_delay{100};
constexpr std::size_t max_discarded_datagrams = 100'000;
// Bounds the tokens that are outstanding, and with them how far the quota can be exceeded.
constexpr milliseconds token_lifetime{400};
// An answer is missing after this many checks, one each tick. A node that gets no processor time
// for a while makes fewer checks, so it does not take its own pause for the pool's silence.
constexpr unsigned max_unanswered_checks = 2;
constexpr unsigned max_failures = 2;
// Time for which a silent node is not asked; doubles each time that it is silent again.
constexpr milliseconds first_suspicion{2000};
constexpr milliseconds longest_suspicion{16'000};
constexpr milliseconds max_wait{300};
// Time for which nodes that have left still count as owners of a share, since others may not know
// yet that they have.
constexpr milliseconds node_count_memory{5000};
constexpr unsigned max_borrowed = 64;
// Part of the excess over a quota that the deployment tolerates. It is given to small workspaces,
// whose random arrivals would otherwise often be refused within their quota; the rest covers lent
// tokens.
constexpr double used_excess = 0.5;
constexpr std::size_t max_datagram = 2048;

} // namespace

class quota_agent::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, std::string own_instance, socket_address own,
                   double tolerated_excess, rcu_cell<fleet_view> const& fleet,
                   sidecar_metrics& node_metrics)
        : context(io)
        , instance(std::move(own_instance))
        , address(std::move(own))
        , extra_burst(tolerated_excess * used_excess)
        , views(fleet)
        , metrics(node_metrics)
        , socket(io)
        , last_sequence(make_random_source()()) {}

    status listen() {
        boost::system::error_code failed;
        auto const ip = asio::ip::make_address(this->address.ip, failed);
        udp::endpoint const endpoint(ip, this->address.port);
        if (!failed) {
            this->socket.open(endpoint.protocol(), failed);
        }
        if (!failed) {
            this->socket.bind(endpoint, failed);
        }
        if (failed) {
            return error{result_code::address_unavailable, "cannot receive datagrams on " +
                                                               to_string(this->address) + ": " +
                                                               failed.message()};
        }
        return success();
    }

    void view_changed() {
        auto const view = this->views.load();
        if (!view || !view->configuration) {
            return;
        }
        auto const now = boot_clock::now();
        if (view->configuration != this->configuration) {
            this->configuration = view->configuration;
            this->set_terms();
        }
        if (!this->is_active) {
            return;
        }
        this->set_nodes(*view, now);
    }

    asio::awaitable<quota_decision> acquire(std::string workspace) {
        // A request that still waits when the node stops is destroyed after the agent.
        auto const kept = this->shared_from_this();
        auto const key = quota_key_of(workspace);
        auto& pool = this->pool_of(key);
        if (workspace.empty() || !pool.account.has_quota(key)) {
            co_return quota_admission{};
        }
        auto const now = boot_clock::now();
        pool.account.record_demand(key, now);
        if (auto const expires = pool.account.try_take(key, now)) {
            this->borrow_ahead(pool, key, now);
            co_return quota_admission{quota_token{key, *expires}};
        }
        waiter waiting(this->context, key, pool);
        if (!pool.pending) {
            this->ask(pool, now);
        }
        waiting.decided.expires_after(max_wait);
        if (!waiting.decision) {
            co_await waiting.decided.async_wait(to_tuple);
        }
        if (!waiting.decision) {
            this->metrics.quota_unavailable.add();
            co_return quota_unavailable{};
        }
        if (std::holds_alternative<quota_exceeded>(*waiting.decision)) {
            this->metrics.quota_refusals.add();
        }
        co_return *waiting.decision;
    }

    void give_back(quota_token const& token) {
        this->pool_of(token.workspace)
            .account.give_back(token.workspace, token.expires, boot_clock::now());
    }

private:
    struct pool_state;

    // A request that waits for a token. It is in the pool's list for the lifetime of the object.
    class waiter {
    public:
        waiter(asio::io_context& io, quota_key key, pool_state& owner)
            : decided(io), workspace(key), pool(owner) {
            this->position = this->pool.waiters.insert(this->pool.waiters.end(), this);
        }
        ~waiter() { this->pool.waiters.erase(this->position); }
        waiter(waiter const&) = delete;
        waiter& operator=(waiter const&) = delete;
        waiter(waiter&&) = delete;
        waiter& operator=(waiter&&) = delete;

        void decide(quota_decision const& made) {
            this->decision = made;
            this->decided.cancel();
        }

        asio::steady_timer decided;
        quota_key workspace;
        std::optional<quota_decision> decision;

    private:
        pool_state& pool;
        std::list<waiter*>::iterator position;
    };

    // A request for tokens that has not been answered.
    struct pending_request {
        std::uint64_t sequence = 0;
        boot_time sent;
        std::string asked;
        unsigned checks = 0;
    };

    // One pool as this node sees it, and the part of it that this node lends when it is asked.
    struct pool_state {
        quota_account account;
        quota_pool lender;
        lender_choice choice;
        lender_choice::suspicions suspected_until;
        /// For how long each node was last suspected; it has not answered since.
        std::map<std::string, milliseconds> suspicion_times;
        std::list<waiter*> waiters;
        /// Workspaces for whose expected demand the node holds too few tokens.
        std::set<quota_key> short_of_tokens;
        std::optional<pending_request> pending;
        unsigned failures = 0;
        boot_time renewal_due;
    };

    pool_state& pool_of(quota_key key) { return this->pools[key % pool_count]; }

    static std::uint32_t index_of(quota_key key) {
        return static_cast<std::uint32_t>(key % pool_count);
    }

    void set_terms() {
        std::array<quota_table, pool_count> terms;
        for (auto const& each : this->configuration->workspaces()) {
            if (each.has_quota()) {
                auto const key = quota_key_of(each.name);
                terms[index_of(key)][key] = {each.rate_per_second, each.burst + this->extra_burst};
                this->log_change(each);
            }
        }
        bool const has_quotas =
            std::ranges::any_of(terms, [](quota_table const& table) { return !table.empty(); });
        for (std::uint32_t index = 0; index < pool_count; ++index) {
            this->pools[index].account.set_terms(terms[index]);
            this->pools[index].lender.set_terms(terms[index]);
            admit_without_quota(this->pools[index]);
        }
        if (has_quotas && !this->is_active) {
            this->activate();
        }
    }

    // The first quotas are part of the first configuration and are not logged one by one.
    void log_change(workspace const& next) {
        auto& known = this->quotas[next.name];
        bool const is_changed = known.has_quota() && known != next;
        known = next;
        if (is_changed) {
            log::write(log::level::info, "quota_changed",
                       {{"workspace", next.name},
                        {"requests_per_second", next.rate_per_second},
                        {"burst", next.burst}});
        }
    }

    // A configuration may end the quota of a workspace whose requests wait for tokens.
    static void admit_without_quota(pool_state& pool) {
        for (auto* each : pool.waiters) {
            if (!each->decision && !pool.account.has_quota(each->workspace)) {
                each->decide(quota_admission{});
            }
        }
    }

    void activate() {
        this->is_active = true;
        auto const now = boot_clock::now();
        for (auto& pool : this->pools) {
            pool.account.set_delegated_until(pool.choice.assume_delegated(now), now);
        }
        this->last_tick = now;
        asio::co_spawn(this->context, tick_loop(this->shared_from_this()), asio::detached);
        asio::co_spawn(this->context, receive_loop(this->shared_from_this()), asio::detached);
    }

    void set_nodes(fleet_view const& view, boot_time now) {
        std::vector<pool_candidate> candidates;
        this->known_nodes = {this->instance};
        for (auto const& [service, members] : view.members) {
            for (auto const& each : members) {
                if (each.target.state == target_state::gone) {
                    continue;
                }
                this->known_nodes.insert(each.instance);
                candidates.push_back({each.instance, each.ip, each.processor_share});
            }
        }
        this->update_node_count(now);
        for (std::uint32_t index = 0; index < pool_count; ++index) {
            this->pools[index].choice.set_order(pool_order(candidates, index));
        }
    }

    // The count rises at once, and falls only if it has been lower for some time.
    void update_node_count(boot_time now) {
        auto const count = static_cast<unsigned>(this->known_nodes.size());
        if (count >= this->node_count) {
            this->lower_count_since = now;
        }
        if (count == this->node_count ||
            (count < this->node_count && now - this->lower_count_since < node_count_memory)) {
            return;
        }
        this->node_count = count;
        for (auto& pool : this->pools) {
            pool.account.set_node_count(count, now);
            pool.lender.set_node_count(count, now);
        }
    }

    static asio::awaitable<void> tick_loop(std::shared_ptr<implementation> self) {
        asio::steady_timer timer(self->context);
        for (;;) {
            timer.expires_after(tick_period);
            co_await timer.async_wait(to_tuple);
            auto const now = boot_clock::now();
            if (self->is_delayed(now)) {
                self->discard_datagrams();
            }
            self->last_tick = now;
            self->update_node_count(now);
            for (auto& pool : self->pools) {
                self->check(pool, now);
            }
        }
    }

    void check(pool_state& pool, boot_time now) {
        if (pool.pending && ++pool.pending->checks >= max_unanswered_checks) {
            this->record_failure(pool, now);
        }
        if (!pool.pending && (!pool.waiters.empty() || now >= pool.renewal_due)) {
            this->ask(pool, now);
        }
    }

    void record_failure(pool_state& pool, boot_time now) {
        auto const asked = pool.pending->asked;
        pool.pending.reset();
        if (++pool.failures < max_failures) {
            pool.renewal_due = now;
            return;
        }
        pool.failures = 0;
        pool.renewal_due = now;
        auto& time = pool.suspicion_times[asked];
        time = std::clamp(time * 2, first_suspicion, longest_suspicion);
        pool.suspected_until[asked] = now + time;
        log::write(log::level::warning, "quota_pool_silent",
                   {{"instance", asked}, {"nodes", static_cast<std::int64_t>(this->node_count)}});
    }

    // A delegation counts from its receipt, so one that waited while this process was suspended
    // would count after its node has delegated its share to another pool.
    bool is_delayed(boot_time now) const {
        return now - this->last_tick > tick_period + max_receive_delay;
    }

    void discard_datagrams() {
        boost::system::error_code failed;
        this->socket.non_blocking(true, failed);
        std::array<char, max_datagram> buffer{};
        udp::endpoint sender;
        for (std::size_t count = 0; !failed && count < max_discarded_datagrams; ++count) {
            this->socket.receive_from(asio::buffer(buffer), sender, 0, failed);
        }
    }

    void ask(pool_state& pool, boot_time now) {
        std::erase_if(pool.suspected_until,
                      [now](auto const& entry) { return entry.second <= now; });
        auto const* lender = pool.choice.lender(pool.suspected_until, now);
        pool.renewal_due = now + delegation_renewal;
        if (lender == nullptr) {
            return;
        }
        quota_message message;
        message.instance = this->instance;
        message.sequence = ++this->last_sequence;
        message.pool = static_cast<std::uint32_t>(&pool - this->pools.data());
        message.entries = this->wanted_tokens(pool, now);
        if (pool.choice.may_delegate(lender->instance, pool.suspected_until, now)) {
            message.delegated = delegation_time;
            pool.account.set_delegated_until(pool.choice.delegate(lender->instance, now), now);
        }
        pool.pending = pending_request{message.sequence, now, lender->instance};
        if (lender->instance == this->instance) {
            this->take_answer(this->lend(message, now));
            return;
        }
        this->send(message, lender->ip);
    }

    std::vector<quota_entry> wanted_tokens(pool_state& pool, boot_time now) {
        std::map<quota_key, unsigned> wanted;
        for (auto const* each : pool.waiters) {
            if (!each->decision) {
                ++wanted[each->workspace];
            }
        }
        for (auto const key : std::exchange(pool.short_of_tokens, {})) {
            if (pool.account.has_quota(key)) {
                wanted.try_emplace(key, 0);
            }
        }
        std::vector<quota_entry> entries;
        for (auto const& [key, waiting] : wanted) {
            auto const tokens = waiting + pool.account.expected_need(key, now);
            if (tokens > 0 && entries.size() < max_quota_entries) {
                entries.push_back({key, std::min(tokens, max_borrowed), {}});
            }
        }
        return entries;
    }

    // Asks for tokens before a request has to wait for them.
    void borrow_ahead(pool_state& pool, quota_key key, boot_time now) {
        if (pool.account.expected_need(key, now) == 0) {
            return;
        }
        pool.short_of_tokens.insert(key);
        if (!pool.pending) {
            this->ask(pool, now);
        }
    }

    void send(quota_message const& message, std::string const& ip) {
        boost::system::error_code failed;
        auto const to = asio::ip::make_address(ip, failed);
        if (!failed) {
            this->send(message, udp::endpoint(to, this->address.port));
        }
    }

    // A datagram that cannot be sent counts as lost.
    void send(quota_message const& message, udp::endpoint const& to) {
        boost::system::error_code ignored;
        this->socket.send_to(asio::buffer(encode_quota_message(message)), to, 0, ignored);
    }

    static asio::awaitable<void> receive_loop(std::shared_ptr<implementation> self) {
        std::array<char, max_datagram> buffer{};
        udp::endpoint sender;
        for (;;) {
            auto const [failed, size] =
                co_await self->socket.async_receive_from(asio::buffer(buffer), sender, to_tuple);
            if (failed == asio::error::operation_aborted) {
                co_return;
            }
            if (!failed) {
                self->receive(std::string_view(buffer.data(), size), sender);
            }
        }
    }

    void receive(std::string_view bytes, udp::endpoint const& sender) {
        auto const message = decode_quota_message(bytes);
        if (!is_ok(message) || value(message).pool >= pool_count) {
            return;
        }
        if (value(message).is_answer) {
            this->take_answer(value(message));
            return;
        }
        auto const now = boot_clock::now();
        if (this->is_delayed(now)) {
            return;
        }
        auto request = value(message);
        // A node whose target has left still serves its callers, but owns no share: counting one
        // would raise the sum of the shares above the quota.
        if (!this->known_nodes.contains(request.instance)) {
            request.delegated = milliseconds(0);
        }
        this->send(this->lend(request, now), sender);
    }

    quota_message lend(quota_message const& request, boot_time now) {
        auto& lender = this->pools[request.pool].lender;
        if (request.delegated.count() > 0) {
            auto const time = std::min(request.delegated, delegation_time);
            lender.delegate(request.instance, now + time, now);
        }
        quota_message answer;
        answer.instance = request.instance;
        answer.sequence = request.sequence;
        answer.pool = request.pool;
        answer.is_answer = true;
        for (auto const& wanted : request.entries) {
            auto const grant =
                lender.lend(wanted.workspace, std::min(wanted.tokens, max_borrowed), now);
            answer.entries.push_back({wanted.workspace, grant.tokens, grant.retry_after});
        }
        this->metrics.quota_share_lent.set(static_cast<std::int64_t>(lender.share(now) * 100));
        return answer;
    }

    void take_answer(quota_message const& answer) {
        auto& pool = this->pools[answer.pool];
        if (!pool.pending || pool.pending->sequence != answer.sequence) {
            return;
        }
        auto const expires = pool.pending->sent + token_lifetime;
        pool.suspected_until.erase(pool.pending->asked);
        pool.suspicion_times.erase(pool.pending->asked);
        pool.pending.reset();
        pool.failures = 0;
        auto const now = boot_clock::now();
        for (auto const& entry : answer.entries) {
            pool.account.add(entry.workspace, entry.tokens, expires);
            this->decide_waiters(pool, entry, now);
        }
        bool const has_undecided =
            std::ranges::any_of(pool.waiters, [](waiter const* each) { return !each->decision; });
        if (has_undecided) {
            this->ask(pool, now);
        }
    }

    // Requests that came after the question are not decided by a refusal.
    void decide_waiters(pool_state& pool, quota_entry const& entry, boot_time now) {
        for (auto* each : pool.waiters) {
            if (each->decision || each->workspace != entry.workspace) {
                continue;
            }
            if (auto const expires = pool.account.try_take(entry.workspace, now)) {
                each->decide(quota_admission{quota_token{entry.workspace, *expires}});
            } else if (entry.tokens == 0) {
                each->decide(quota_exceeded{entry.retry_after});
            }
        }
    }

    asio::io_context& context;
    std::string instance;
    socket_address address;
    double extra_burst;
    rcu_cell<fleet_view> const& views;
    sidecar_metrics& metrics;
    udp::socket socket;
    std::uint64_t last_sequence;
    std::array<pool_state, pool_count> pools;
    std::shared_ptr<mesh_configuration const> configuration;
    /// The quotas in force, by workspace.
    std::map<std::string, workspace> quotas;
    std::set<std::string> known_nodes;
    unsigned node_count = 0;
    boot_time last_tick;
    boot_time lower_count_since;
    bool is_active = false;
};

quota_agent::quota_agent(asio::io_context& context, std::string instance, socket_address own,
                         double tolerated_excess, rcu_cell<fleet_view> const& views,
                         sidecar_metrics& metrics)
    : self(std::make_shared<implementation>(context, std::move(instance), std::move(own),
                                            tolerated_excess, views, metrics)) {}

quota_agent::~quota_agent() = default;

status quota_agent::listen() {
    return this->self->listen();
}

void quota_agent::view_changed() {
    this->self->view_changed();
}

asio::awaitable<quota_decision> quota_agent::acquire(std::string const& workspace) {
    return this->self->acquire(workspace);
}

void quota_agent::give_back(quota_token const& token) {
    this->self->give_back(token);
}

} // namespace peridot
