#include "mesh/fleet_retry_budget.h"

#include "mesh/fleet_view.h"
#include "mesh/route_usage.h"
#include "routing/retry_budget.h"

#include <algorithm>
#include <unordered_map>

namespace peridot {

namespace {

constexpr double used_fraction_of_limit = 0.5;
constexpr double min_reserve = 1.0;
// Retries that are kept for the routes with few requests. A budget that holds no more than these
// serves all routes alike.
constexpr double kept_retries = 1.0;
// Routes that together make no more than this share of a service's requests have few.
constexpr double few_requests_share = 0.125;
// Each request counts as much for the usage of its route.
constexpr nanoseconds request_weight = milliseconds(1);

std::size_t count_members(fleet_view const& view) {
    std::size_t count = 0;
    for (auto const& [service, members] : view.members) {
        count += members.size();
    }
    return count;
}

} // namespace

class fleet_retry_budget::implementation {
public:
    struct service_budget {
        explicit service_budget(retry_budget_options const& options)
            : retries(options), kept(options.capacity >= 2 * kept_retries ? kept_retries : 0) {}

        retry_budget retries;
        double kept;
        route_usage requests;
    };

    // Returns null while the size of the fleet is unknown: a node that has just started would
    // otherwise use the budget of the whole fleet.
    service_budget* budget(std::string const& service, fleet_view const& view) {
        auto const found = this->budgets.find(service);
        if (found != this->budgets.end()) {
            return found->second.get();
        }
        auto const members = count_members(view);
        if (members == 0) {
            return nullptr;
        }
        retry_budget_options options;
        options.ratio = this->limit.ratio * used_fraction_of_limit;
        options.capacity = std::max(min_reserve, this->limit.reserve * used_fraction_of_limit /
                                                     static_cast<double>(members));
        auto created = std::make_unique<service_budget>(options);
        return this->budgets.emplace(service, std::move(created)).first->second.get();
    }

    fleet_retry_limit limit;
    std::unordered_map<std::string, std::unique_ptr<service_budget>> budgets;
};

fleet_retry_budget::fleet_retry_budget(fleet_retry_limit limit)
    : self(std::make_unique<implementation>()) {
    this->self->limit = limit;
}

fleet_retry_budget::~fleet_retry_budget() = default;

void fleet_retry_budget::record_request(std::string const& service, std::string const& route,
                                        fleet_view const& view, boot_time now) {
    if (auto* budget = this->self->budget(service, view)) {
        budget->retries.record_request();
        budget->requests.decay(now);
        budget->requests.add(route, request_weight);
    }
}

bool fleet_retry_budget::try_take(std::string const& service, std::string const& route,
                                  fleet_view const& view, boot_time now) {
    auto* budget = this->self->budget(service, view);
    if (budget == nullptr) {
        return false;
    }
    budget->requests.decay(now);
    bool const has_few_requests = budget->requests.is_within_share(route, few_requests_share);
    return budget->retries.try_take(has_few_requests ? 0 : budget->kept);
}

} // namespace peridot
