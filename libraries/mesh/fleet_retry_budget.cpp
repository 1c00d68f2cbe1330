#include "mesh/fleet_retry_budget.h"

#include "mesh/fleet_view.h"
#include "routing/retry_budget.h"

#include <algorithm>
#include <unordered_map>

namespace peridot {

namespace {

constexpr double used_fraction_of_limit = 0.5;
constexpr double min_reserve = 1.0;

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
    // Returns null while the size of the fleet is unknown: a node that has just started would
    // otherwise use the budget of the whole fleet.
    retry_budget* budget(std::string const& service, fleet_view const& view) {
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
        auto created = std::make_unique<retry_budget>(options);
        return this->budgets.emplace(service, std::move(created)).first->second.get();
    }

    fleet_retry_limit limit;
    std::unordered_map<std::string, std::unique_ptr<retry_budget>> budgets;
};

fleet_retry_budget::fleet_retry_budget(fleet_retry_limit limit)
    : self(std::make_unique<implementation>()) {
    this->self->limit = limit;
}

fleet_retry_budget::~fleet_retry_budget() = default;

void fleet_retry_budget::record_request(std::string const& service, fleet_view const& view) {
    if (auto* budget = this->self->budget(service, view)) {
        budget->record_request();
    }
}

bool fleet_retry_budget::try_take(std::string const& service, fleet_view const& view) {
    auto* budget = this->self->budget(service, view);
    return budget != nullptr && budget->try_take();
}

} // namespace peridot
