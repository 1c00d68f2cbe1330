#include "quota_simulation.h"

#include "quotas/lender_choice.h"
#include "quotas/quota_account.h"
#include "quotas/quota_message.h"
#include "quotas/quota_pool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridot {

namespace {

// The timing of quota_agent.
constexpr std::uint32_t pool_count = 4;
constexpr milliseconds tick_period{50};
constexpr milliseconds delegation_renewal{250};
constexpr milliseconds max_receive_delay{100};
constexpr milliseconds token_lifetime{400};
constexpr unsigned max_unanswered_checks = 2;
constexpr unsigned max_failures = 2;
constexpr milliseconds first_suspicion{2000};
constexpr milliseconds longest_suspicion{16'000};
constexpr milliseconds max_wait{300};
// The nodes add half of the tolerated excess to each burst.
constexpr double extra_burst = 10;
constexpr unsigned max_borrowed = 64;

constexpr milliseconds step{1};
constexpr unsigned workspace_count = 87;
constexpr double weight_exponent = 1.2;
constexpr double demand_of_a_node = 8;
constexpr double quota_factor = 1.6;
constexpr double hot_factor = 5;
// The largest one: the fixed part of the bound hides least there.
constexpr unsigned hot_workspace = 0;
// A burst of this time of the rate, but of a few requests at least.
constexpr double burst_seconds = 0.5;
constexpr double min_burst = 5;
constexpr unsigned nodes_of_a_workspace = 6;
constexpr seconds window{5};
boot_time const start{std::chrono::hours(1)};

struct waiting_request {
    quota_key workspace = 0;
    boot_time arrived;
    bool is_within_quota = false;
};

struct pending_request {
    std::uint64_t sequence = 0;
    boot_time sent;
    std::string asked;
    unsigned checks = 0;
};

struct pool_state {
    quota_account account;
    quota_pool lender;
    lender_choice choice;
    lender_choice::suspicions suspected_until;
    std::map<std::string, milliseconds> suspicion_times;
    std::vector<waiting_request> waiters;
    std::set<quota_key> short_of_tokens;
    std::optional<pending_request> pending;
    unsigned failures = 0;
    boot_time renewal_due;
};

struct node_state {
    std::array<pool_state, pool_count> pools;
    boot_time last_tick;
    boot_time next_tick;
    std::uint64_t last_sequence = 0;
};

struct datagram {
    boot_time due;
    std::size_t from = 0;
    std::size_t to = 0;
    quota_message message;
};

struct workspace_state {
    double usual = 0;
    quota_terms terms;
    std::vector<std::size_t> nodes;
    std::vector<boot_time> admitted;
    /// One bucket for the whole fleet.
    double ideal_tokens = 0;
    boot_time ideal_refilled;
};

} // namespace

class quota_simulation::implementation {
public:
    implementation(unsigned count, std::uint64_t seed) : random(seed) {
        double sum = 0;
        for (unsigned index = 0; index < workspace_count; ++index) {
            sum += std::pow(index + 1, -weight_exponent);
        }
        for (unsigned index = 0; index < workspace_count; ++index) {
            auto& each = this->workspaces[index];
            each.usual = demand_of_a_node * count * std::pow(index + 1, -weight_exponent) / sum;
            double const rate = each.usual * quota_factor;
            each.terms = {rate, std::max(min_burst, rate * burst_seconds)};
            each.ideal_refilled = start;
        }
        for (unsigned index = 0; index < count; ++index) {
            this->names.push_back("instance-" + std::to_string(index));
        }
        for (auto const& name : this->names) {
            this->candidates.push_back({name, "127.0.0.1", 0.5});
        }
        this->nodes.resize(count);
        this->frozen.resize(count);
        this->cut_off.resize(count);
        this->held.resize(count);
        this->move_demand();
        for (std::size_t index = 0; index < count; ++index) {
            this->start_node(index);
        }
    }

    std::uint64_t below(std::uint64_t limit) { return this->random() % limit; }

    void move_demand() {
        for (auto& each : this->workspaces) {
            each.nodes.clear();
            for (unsigned chosen = 0; chosen < nodes_of_a_workspace; ++chosen) {
                each.nodes.push_back(this->below(this->names.size()));
            }
        }
    }

    void start_node(std::size_t index) {
        this->nodes[index] = std::make_unique<node_state>();
        auto& node = *this->nodes[index];
        node.last_tick = this->now;
        node.next_tick = this->now + milliseconds(this->below(tick_period.count()));
        node.last_sequence = this->random() >> 1U;
        auto const count = static_cast<unsigned>(this->names.size());
        for (std::uint32_t pool = 0; pool < pool_count; ++pool) {
            auto& state = node.pools[pool];
            state.account.set_terms(this->table(pool));
            state.lender.set_terms(this->table(pool));
            state.account.set_delegated_until(state.choice.assume_delegated(this->now), this->now);
            state.account.set_node_count(count, this->now);
            state.lender.set_node_count(count, this->now);
            state.choice.set_order(pool_order(this->candidates, pool));
        }
    }

    quota_table table(std::uint32_t pool) const {
        quota_table table;
        for (quota_key key = pool; key < workspace_count; key += pool_count) {
            table[key] = this->workspaces[key].terms;
            table[key].burst += extra_burst;
        }
        return table;
    }

    void scale_quotas(double factor) {
        for (auto& each : this->workspaces) {
            each.terms.rate_per_second *= factor;
            each.terms.burst *= factor;
            each.ideal_tokens = std::min(each.ideal_tokens, each.terms.burst);
        }
        for (auto& node : this->nodes) {
            for (std::uint32_t pool = 0; node && pool < pool_count; ++pool) {
                node->pools[pool].account.set_terms(this->table(pool));
                node->pools[pool].lender.set_terms(this->table(pool));
            }
        }
    }

    void run(milliseconds time) {
        auto const end = this->now + time;
        this->measured += time;
        for (; this->now < end; this->now += step) {
            auto const due = this->under_way.find(this->now);
            if (due != this->under_way.end()) {
                auto const arrived = std::move(due->second);
                this->under_way.erase(due);
                for (auto const& each : arrived) {
                    this->deliver(each);
                }
            }
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                if (this->nodes[index] && !this->frozen[index] &&
                    this->now >= this->nodes[index]->next_tick) {
                    this->tick(index);
                }
            }
            this->arrive();
        }
    }

    void tick(std::size_t index) {
        auto& node = *this->nodes[index];
        node.last_tick = this->now;
        node.next_tick = this->now + tick_period;
        for (auto& pool : node.pools) {
            std::erase_if(pool.waiters, [&](waiting_request const& each) {
                bool const has_waited = this->now - each.arrived >= max_wait;
                this->refused += has_waited && each.is_within_quota ? 1 : 0;
                return has_waited;
            });
            if (pool.pending && ++pool.pending->checks >= max_unanswered_checks) {
                this->record_failure(pool);
            }
            if (!pool.pending && (!pool.waiters.empty() || this->now >= pool.renewal_due)) {
                this->ask(index, pool);
            }
        }
    }

    void record_failure(pool_state& pool) const {
        auto const asked = pool.pending->asked;
        pool.pending.reset();
        pool.renewal_due = this->now;
        if (++pool.failures >= max_failures) {
            pool.failures = 0;
            auto& time = pool.suspicion_times[asked];
            time = std::clamp(time * 2, first_suspicion, longest_suspicion);
            pool.suspected_until[asked] = this->now + time;
        }
    }

    void ask(std::size_t index, pool_state& pool) {
        auto& node = *this->nodes[index];
        auto const* lender = pool.choice.lender(pool.suspected_until, this->now);
        pool.renewal_due = this->now + delegation_renewal;
        if (lender == nullptr) {
            return;
        }
        quota_message message;
        message.instance = this->names[index];
        message.sequence = ++node.last_sequence;
        message.pool = static_cast<std::uint32_t>(&pool - node.pools.data());
        message.entries = this->wanted_tokens(pool);
        if (pool.choice.may_delegate(lender->instance, pool.suspected_until, this->now)) {
            message.delegated = delegation_time;
            pool.account.set_delegated_until(pool.choice.delegate(lender->instance, this->now),
                                             this->now);
        }
        pool.pending = pending_request{message.sequence, this->now, lender->instance};
        auto const to = this->index_of(lender->instance);
        if (to == index) {
            this->take_answer(index, this->lend(index, message));
            return;
        }
        this->send(index, to, std::move(message));
    }

    std::vector<quota_entry> wanted_tokens(pool_state& pool) const {
        std::map<quota_key, unsigned> wanted;
        for (auto const& each : pool.waiters) {
            ++wanted[each.workspace];
        }
        for (auto const key : std::exchange(pool.short_of_tokens, {})) {
            wanted.try_emplace(key, 0);
        }
        std::vector<quota_entry> entries;
        for (auto const& [key, waiting] : wanted) {
            auto const tokens = waiting + pool.account.expected_need(key, this->now);
            if (tokens > 0 && entries.size() < max_quota_entries) {
                entries.push_back({key, std::min(tokens, max_borrowed), {}});
            }
        }
        return entries;
    }

    quota_message lend(std::size_t index, quota_message const& request) {
        auto& lender = this->nodes[index]->pools[request.pool].lender;
        if (request.delegated.count() > 0) {
            lender.delegate(request.instance, this->now + request.delegated, this->now);
        }
        quota_message answer;
        answer.instance = request.instance;
        answer.sequence = request.sequence;
        answer.pool = request.pool;
        answer.is_answer = true;
        for (auto const& wanted : request.entries) {
            auto const grant = lender.lend(wanted.workspace, wanted.tokens, this->now);
            answer.entries.push_back({wanted.workspace, grant.tokens, grant.retry_after});
        }
        return answer;
    }

    void take_answer(std::size_t index, quota_message const& answer) {
        auto& pool = this->nodes[index]->pools[answer.pool];
        if (!pool.pending || pool.pending->sequence != answer.sequence) {
            return;
        }
        auto const expires = pool.pending->sent + token_lifetime;
        pool.suspicion_times.erase(pool.pending->asked);
        pool.pending.reset();
        pool.failures = 0;
        for (auto const& entry : answer.entries) {
            pool.account.add(entry.workspace, entry.tokens, expires);
            std::erase_if(pool.waiters, [&](waiting_request const& each) {
                return each.workspace == entry.workspace && this->decide(pool, each, entry);
            });
        }
        if (!pool.waiters.empty()) {
            this->ask(index, pool);
        }
    }

    bool decide(pool_state& pool, waiting_request const& waiting, quota_entry const& entry) {
        if (pool.account.try_take(entry.workspace, this->now)) {
            this->admit(entry.workspace);
            return true;
        }
        this->refused += entry.tokens == 0 && waiting.is_within_quota ? 1 : 0;
        return entry.tokens == 0;
    }

    void admit(quota_key key) {
        this->workspaces[key].admitted.push_back(this->now);
        this->hot_admitted += key == hot_workspace ? 1 : 0;
    }

    void send(std::size_t from, std::size_t to, quota_message message) {
        ++this->messages;
        this->bytes += encode_quota_message(message).size();
        auto const due = this->now + milliseconds(1 + this->below(5));
        if (!this->cut_off[from] &&
            !this->broken_links.contains(std::pair(std::min(from, to), std::max(from, to)))) {
            this->under_way[due].push_back({due, from, to, std::move(message)});
        }
    }

    void deliver(datagram const& arrived) {
        if (!this->nodes[arrived.to] || this->cut_off[arrived.to]) {
            return;
        }
        if (this->frozen[arrived.to]) {
            this->held[arrived.to].push_back(arrived);
            return;
        }
        if (arrived.message.is_answer) {
            this->take_answer(arrived.to, arrived.message);
            return;
        }
        bool const is_delayed =
            this->now - this->nodes[arrived.to]->last_tick > tick_period + max_receive_delay;
        if (!is_delayed) {
            this->send(arrived.to, arrived.from, this->lend(arrived.to, arrived.message));
        }
    }

    // What has waited is read before the timer, as it may be in a process that resumes.
    void resume(std::size_t index) {
        this->frozen[index] = false;
        auto const waiting = std::exchange(this->held[index], {});
        for (auto const& each : waiting) {
            this->deliver(each);
        }
    }

    void arrive() {
        std::chrono::duration<double> const time = step;
        for (quota_key key = 0; key < workspace_count; ++key) {
            auto& each = this->workspaces[key];
            double const factor = key == hot_workspace ? hot_factor : 1;
            std::poisson_distribution<unsigned> count(each.usual * factor * time.count());
            for (auto left = count(this->random); left > 0; --left) {
                this->request(key, each);
            }
        }
    }

    void request(quota_key key, workspace_state& workspace) {
        // Most requests of a workspace come through one node.
        auto const index = workspace.nodes[std::min(this->below(nodes_of_a_workspace),
                                                    this->below(nodes_of_a_workspace))];
        if (!this->nodes[index] || this->frozen[index]) {
            return;
        }
        std::chrono::duration<double> const elapsed = this->now - workspace.ideal_refilled;
        workspace.ideal_refilled = this->now;
        workspace.ideal_tokens =
            std::min(workspace.terms.burst,
                     workspace.ideal_tokens + elapsed.count() * workspace.terms.rate_per_second);
        bool const has_ideal_token = workspace.ideal_tokens >= 1;
        workspace.ideal_tokens -= has_ideal_token ? 1 : 0;
        if (key == hot_workspace) {
            this->hot_within_quota += has_ideal_token ? 1 : 0;
        }
        // Which requests of a workspace that is always over its quota are within it, is a matter of
        // milliseconds.
        bool const is_within_quota = has_ideal_token && key != hot_workspace;
        this->within_quota += is_within_quota ? 1 : 0;
        auto& pool = this->nodes[index]->pools[key % pool_count];
        pool.account.record_demand(key, this->now);
        if (pool.account.try_take(key, this->now)) {
            this->admit(key);
            if (pool.account.expected_need(key, this->now) > 0) {
                pool.short_of_tokens.insert(key);
                if (!pool.pending) {
                    this->ask(index, pool);
                }
            }
            return;
        }
        pool.waiters.push_back({key, this->now, is_within_quota});
        if (!pool.pending) {
            this->ask(index, pool);
        }
    }

    std::size_t index_of(std::string const& name) const {
        return std::stoul(name.substr(name.find('-') + 1));
    }

    // The largest count of a workspace in any window, relative to what is allowed.
    double use_of(workspace_state const& each) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < each.admitted.size(); ++last) {
            while (each.admitted[last] - each.admitted[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        double const allowed =
            (each.terms.rate_per_second * window.count() + each.terms.burst) * 1.1 + 20;
        return static_cast<double>(most) / allowed;
    }

    std::mt19937_64 random;
    boot_time now = start;
    milliseconds measured{0};
    std::array<workspace_state, workspace_count> workspaces;
    std::vector<std::string> names;
    std::vector<pool_candidate> candidates;
    std::vector<std::unique_ptr<node_state>> nodes;
    std::vector<bool> frozen;
    std::vector<bool> cut_off;
    std::vector<std::vector<datagram>> held;
    /// Pairs of nodes, the lower number first.
    std::set<std::pair<std::size_t, std::size_t>> broken_links;
    std::map<boot_time, std::vector<datagram>> under_way;
    std::size_t within_quota = 0;
    std::size_t refused = 0;
    std::size_t hot_within_quota = 0;
    std::size_t hot_admitted = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

quota_simulation::quota_simulation(unsigned node_count, std::uint64_t seed)
    : self(std::make_unique<implementation>(node_count, seed)) {}

quota_simulation::~quota_simulation() = default;

void quota_simulation::run(milliseconds time) {
    this->self->run(time);
}

void quota_simulation::move_demand() {
    this->self->move_demand();
}

void quota_simulation::scale_quotas(double factor) {
    this->self->scale_quotas(factor);
}

std::size_t quota_simulation::pool_node(unsigned pool) const {
    return this->self->index_of(pool_order(this->self->candidates, pool).front().instance);
}

std::size_t quota_simulation::random_node() {
    return this->self->below(this->self->names.size());
}

void quota_simulation::kill(std::size_t node) {
    this->self->nodes[node].reset();
}

void quota_simulation::restart(std::size_t node) {
    this->self->start_node(node);
}

void quota_simulation::set_frozen(std::size_t node, bool is_frozen) {
    if (is_frozen) {
        this->self->frozen[node] = true;
    } else {
        this->self->resume(node);
    }
}

void quota_simulation::set_cut_off(std::size_t node, bool is_cut_off) {
    this->self->cut_off[node] = is_cut_off;
}

void quota_simulation::break_links_to(std::size_t node, double share) {
    for (std::size_t other = 0; other < this->self->names.size(); ++other) {
        if (std::bernoulli_distribution(share)(this->self->random)) {
            this->self->broken_links.insert(
                std::pair(std::min(node, other), std::max(node, other)));
        }
    }
}

void quota_simulation::mend_links() {
    this->self->broken_links.clear();
}

void quota_simulation::reset_figures() {
    this->self->measured = milliseconds(0);
    this->self->within_quota = 0;
    this->self->refused = 0;
    this->self->hot_within_quota = 0;
    this->self->hot_admitted = 0;
    this->self->messages = 0;
    this->self->bytes = 0;
}

double quota_simulation::refused_share() const {
    return static_cast<double>(this->self->refused) /
           static_cast<double>(std::max<std::size_t>(1, this->self->within_quota));
}

double quota_simulation::hot_admitted_share() const {
    return static_cast<double>(this->self->hot_admitted) /
           static_cast<double>(std::max<std::size_t>(1, this->self->hot_within_quota));
}

double quota_simulation::messages_per_node_and_second() const {
    std::chrono::duration<double> const time = this->self->measured;
    return static_cast<double>(this->self->messages) /
           (time.count() * static_cast<double>(this->self->names.size()));
}

double quota_simulation::bytes_per_node_and_second() const {
    std::chrono::duration<double> const time = this->self->measured;
    return static_cast<double>(this->self->bytes) /
           (time.count() * static_cast<double>(this->self->names.size()));
}

void quota_simulation::forget_admitted() {
    for (auto& each : this->self->workspaces) {
        each.admitted.clear();
    }
}

std::size_t quota_simulation::violations() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->self->workspaces, [&](auto const& each) { return this->self->use_of(each) > 1; }));
}

double quota_simulation::largest_use() const {
    double largest = 0;
    for (auto const& each : this->self->workspaces) {
        largest = std::max(largest, this->self->use_of(each));
    }
    return largest;
}

} // namespace peridot
