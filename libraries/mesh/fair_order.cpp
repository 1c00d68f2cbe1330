#include "mesh/fair_order.h"

#include "mesh/caller_wait_estimator.h"
#include "mesh/decaying_sum.h"
#include "mesh/gate_request.h"
#include "mesh/refused_callers.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <string_view>
#include <tuple>

namespace peridot {

namespace {

// A workspace or route that was served less often than this fraction of the rate at which all are
// served goes first. The requirement is a quarter; the difference covers the delay with which the
// order follows a burst, and what is not answered after its start.
constexpr double min_served_fraction = 0.4;
// With fewer recent requests, the fraction of a route that is served says nothing.
constexpr double min_judged_requests = 3;
// With 4 s, a route that was served well before a burst got nothing for the burst's first 8 s.
constexpr decaying_sum::half_life served_half_life{1};
// As that of route_usage.
constexpr decaying_sum::half_life slot_time_half_life{1};
// Bursts of a workspace last for some seconds and must not count as its usual demand.
constexpr decaying_sum::half_life usual_half_life{60};
// Weight of a workspace in relation to an equal share, at least: a workspace with little or no
// usual demand gets slots too.
constexpr double min_weight = 0.5;
// If more callers of a workspace have recently left while they waited than this, in relation to its
// other requests, the newest go first. The oldest would start shortly before their callers leave.
constexpr double max_left_fraction = 0.1;
constexpr seconds forget_period{10};
// Workspaces and routes with less recent demand than this are forgotten.
constexpr double negligible = 1e-3;

double in_seconds(nanoseconds time) {
    return std::chrono::duration<double>(time).count();
}

struct served_counts {
    decaying_sum offered{served_half_life};
    decaying_sum started{served_half_life};
};

struct workspace_account {
    served_counts served;
    decaying_sum slot_time{slot_time_half_life};
    decaying_sum usual_demand{usual_half_life};
    /// Callers that left while they waited.
    decaying_sum left{served_half_life};

    // Whether many callers leave while they wait.
    bool is_newest_first(boot_time now) const {
        return this->left.at(now) > max_left_fraction * this->served.offered.at(now);
    }
};

struct route_account {
    served_counts served;
    unsigned priority = 0;
};

// Numbers of a workspace or route at the time of the order.
struct served_numbers {
    served_numbers(served_counts const& counts, boot_time now)
        : offered(counts.offered.at(now)), started(counts.started.at(now)) {}

    double offered;
    double started;

    double fraction() const { return this->offered <= 0 ? 1 : this->started / this->offered; }
};

struct workspace_turn {
    served_numbers served;
    double slot_time = 0;
    double weight = 1;
    bool is_newest_first = false;
};

struct route_turn {
    served_numbers served;
    bool is_ahead = false;
};

// Fraction of a route with enough requests to judge it by.
struct judged_route {
    unsigned priority = 0;
    double fraction = 1;
};

// Whether a more urgent route was served less often. Without a tolerance, since the requirement of
// 0.05 must hold although the order follows a burst with a delay.
bool is_ahead(route_account const& route, std::vector<judged_route> const& judged, boot_time now) {
    double const own = served_numbers(route.served, now).fraction();
    return std::ranges::any_of(judged, [&](judged_route const& other) {
        return other.priority < route.priority && other.fraction < own;
    });
}

// The waiting requests of one workspace on one route.
struct request_group {
    workspace_turn* workspace = nullptr;
    route_turn* route = nullptr;
    std::vector<std::size_t> positions;
    std::size_t next = 0;
};

// Smaller keys go first: not owed, new request, priority of the workspace, route that was served
// more often than a more urgent one, slot time by weight, not a return, rank, and position.
using order_key = std::tuple<bool, bool, unsigned, bool, double, bool, std::pair<bool, boot_time>,
                             std::size_t, std::size_t>;

unsigned priority_of(gate_request const& request) {
    return request.workspace_priority.value_or(std::numeric_limits<unsigned>::max());
}

} // namespace

class fair_order::implementation {
public:
    void count(gate_request const& request, double offered, double started, boot_time now) {
        auto const add = [&](served_counts& counts) {
            counts.offered.add(offered, now);
            counts.started.add(started, now);
        };
        add(this->all);
        add(this->workspaces[request.workspace].served);
        auto& route = this->routes[request.route];
        add(route.served);
        route.priority = request.priority;
    }

    void forget_unused(boot_time now) {
        if (now - this->forgotten_at < forget_period) {
            return;
        }
        this->forgotten_at = now;
        this->refused.forget_expired(now);
        std::erase_if(this->workspaces, [now](auto const& entry) {
            return entry.second.usual_demand.at(now) < negligible &&
                   entry.second.served.offered.at(now) < negligible;
        });
        std::erase_if(this->routes, [now](auto const& entry) {
            return entry.second.served.offered.at(now) < negligible;
        });
    }

    std::vector<judged_route> judged_routes(boot_time now) const {
        std::vector<judged_route> judged;
        for (auto const& [name, account] : this->routes) {
            served_numbers const numbers(account.served, now);
            if (numbers.offered >= min_judged_requests) {
                judged.push_back({account.priority, numbers.fraction()});
            }
        }
        return judged;
    }

    // A request may wait for longer than its workspace and route are remembered.
    template<typename Account>
    static Account account_of(std::map<std::string, Account, std::less<>> const& accounts,
                              std::string const& name) {
        auto const found = accounts.find(name);
        return found == accounts.end() ? Account{} : found->second;
    }

    double total_usual_demand(boot_time now) const {
        double total = 0;
        for (auto const& [name, account] : this->workspaces) {
            total += account.usual_demand.at(now);
        }
        return total;
    }

    served_counts all;
    std::map<std::string, workspace_account, std::less<>> workspaces;
    std::map<std::string, route_account, std::less<>> routes;
    caller_wait_estimator callers;
    refused_callers refused;
    /// Whether a request of a workspace has arrived.
    bool is_active = false;
    boot_time forgotten_at;
};

namespace {

// Sorts the requests of one workspace and route.
void sort_positions(std::vector<std::size_t>& positions,
                    std::vector<fair_order::candidate> const& waiting, bool is_newest_first) {
    if (is_newest_first) {
        std::ranges::sort(positions, std::greater<>(), [&](std::size_t position) {
            return std::pair(waiting[position].request->arrived, position);
        });
        return;
    }
    std::ranges::sort(positions, {}, [&](std::size_t position) {
        auto const& each = waiting[position];
        return std::tuple(!each.request->is_return, each.rank, position);
    });
}

// The order in the making: the groups with the key of their next request.
class turn_queue {
public:
    using candidate = fair_order::candidate;

    turn_queue(std::vector<candidate> const& waiting, std::vector<request_group>& groups,
               double min_fraction)
        : waiting(waiting), groups(groups), min_fraction(min_fraction) {
        for (std::size_t index = 0; index < groups.size(); ++index) {
            this->keys.push(this->key_of(index));
        }
    }

    std::vector<fair_order::placement> run() {
        std::vector<fair_order::placement> ordered;
        while (!this->keys.empty()) {
            auto const index = std::get<group_element>(this->keys.top());
            // Requests that were placed meanwhile can only have moved the group back.
            auto const current = this->key_of(index);
            bool const is_stale = current != this->keys.top();
            this->keys.pop();
            if (!is_stale) {
                ordered.push_back(this->place_next(this->groups[index], !std::get<0>(current)));
            }
            if (this->groups[index].next < this->groups[index].positions.size()) {
                this->keys.push(this->key_of(index));
            }
        }
        return ordered;
    }

private:
    static constexpr std::size_t group_element = std::tuple_size_v<order_key> - 1;

    order_key key_of(std::size_t index) const {
        auto const& group = this->groups[index];
        auto const position = group.positions[group.next];
        auto const& next = this->waiting[position];
        bool const is_owed =
            next.is_likely_answered && (this->is_poorly_served(group.workspace->served) ||
                                        this->is_poorly_served(group.route->served));
        return {!is_owed,
                !next.request->workspace.empty(),
                priority_of(*next.request),
                group.route->is_ahead,
                group.workspace->slot_time / group.workspace->weight,
                !next.request->is_return,
                next.rank,
                position,
                index};
    }

    bool is_poorly_served(served_numbers const& served) const {
        return served.fraction() < this->min_fraction;
    }

    fair_order::placement place_next(request_group& group, bool is_owed) {
        auto const position = group.positions[group.next++];
        group.workspace->slot_time += in_seconds(this->waiting[position].slot_time);
        group.workspace->served.started += 1;
        group.route->served.started += 1;
        return {position, is_owed};
    }

    std::vector<candidate> const& waiting;
    std::vector<request_group>& groups;
    double min_fraction;
    std::priority_queue<order_key, std::vector<order_key>, std::greater<>> keys;
};

} // namespace

fair_order::fair_order() : self(std::make_unique<implementation>()) {}

fair_order::~fair_order() = default;

void fair_order::record_offer(gate_request& request, nanoseconds slot_time, boot_time now) {
    auto& impl = *this->self;
    impl.is_active = impl.is_active || !request.workspace.empty();
    if (!impl.is_active) {
        return;
    }
    impl.forget_unused(now);
    if (impl.refused.take(request.workspace, request.route, request.deadline)) {
        request.is_return = true;
        return;
    }
    impl.count(request, 1, 0, now);
    impl.workspaces[request.workspace].usual_demand.add(in_seconds(slot_time), now);
    // The caller may have been refused at another node.
    auto const left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    request.is_return = !request.workspace.empty() &&
                        impl.callers.observe(request.route, left, now) > milliseconds(0);
}

void fair_order::record_refusal(gate_request const& request, boot_time now) {
    if (this->self->is_active) {
        this->self->refused.add(request.workspace, request.route, request.deadline, now);
    }
}

void fair_order::withdraw_offer(gate_request const& request, nanoseconds slot_time, boot_time now) {
    if (this->self->is_active) {
        this->self->count(request, -1, 0, now);
        auto& account = this->self->workspaces[request.workspace];
        account.usual_demand.add(-in_seconds(slot_time), now);
        account.left.add(1, now);
    }
}

void fair_order::record_start(gate_request const& request, nanoseconds slot_time, boot_time now) {
    if (this->self->is_active) {
        this->self->count(request, 0, 1, now);
        this->self->workspaces[request.workspace].slot_time.add(in_seconds(slot_time), now);
    }
}

void fair_order::correct_slot_time(std::string const& workspace, nanoseconds expected,
                                   nanoseconds actual, boot_time now) {
    if (this->self->is_active) {
        this->self->workspaces[workspace].slot_time.add(in_seconds(actual - expected), now);
    }
}

std::vector<fair_order::placement> fair_order::order(std::vector<candidate> const& waiting,
                                                     boot_time now) const {
    auto const& impl = *this->self;
    auto const equal_weight = impl.total_usual_demand(now) /
                              static_cast<double>(std::max<std::size_t>(1, impl.workspaces.size()));
    // Nodes of a map stay where they are, so the groups can refer to them.
    std::map<std::string, workspace_turn, std::less<>> workspaces;
    std::map<std::string, route_turn, std::less<>> routes;
    std::map<std::tuple<std::string_view, unsigned, std::string_view>, std::vector<std::size_t>>
        grouped;
    for (std::size_t position = 0; position < waiting.size(); ++position) {
        auto const& request = *waiting[position].request;
        grouped[{request.workspace, priority_of(request), request.route}].push_back(position);
    }
    auto const judged = impl.judged_routes(now);
    std::vector<request_group> groups;
    for (auto& [name, positions] : grouped) {
        auto const& request = *waiting[positions.front()].request;
        if (!workspaces.contains(request.workspace)) {
            auto const account =
                fair_order::implementation::account_of(impl.workspaces, request.workspace);
            workspaces.emplace(
                request.workspace,
                workspace_turn{
                    served_numbers(account.served, now), account.slot_time.at(now),
                    std::max({account.usual_demand.at(now), equal_weight * min_weight, negligible}),
                    account.is_newest_first(now)});
        }
        if (!routes.contains(request.route)) {
            auto const account = fair_order::implementation::account_of(impl.routes, request.route);
            routes.emplace(request.route, route_turn{served_numbers(account.served, now),
                                                     is_ahead(account, judged, now)});
        }
        sort_positions(positions, waiting, workspaces.at(request.workspace).is_newest_first);
        groups.push_back(
            {&workspaces.at(request.workspace), &routes.at(request.route), std::move(positions)});
    }
    auto const min_fraction = served_numbers(impl.all, now).fraction() * min_served_fraction;
    return turn_queue(waiting, groups, min_fraction).run();
}

} // namespace peridot
