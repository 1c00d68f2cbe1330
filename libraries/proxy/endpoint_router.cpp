#include "proxy/endpoint_router.h"

#include "core/rcu_cell.h"
#include "proxy/node_state.h"
#include "proxy/worker_context.h"
#include "routing/endpoint_selector_options.h"

namespace peridot {

endpoint_router::endpoint_router(worker_context const& worker) : context(worker) {}

endpoint_selector& endpoint_router::selector(std::string const& service,
                                             std::string const& target_version, steady_time now) {
    auto found = this->selectors.find({service, target_version});
    if (found == this->selectors.end()) {
        endpoint_selector fresh(this->context.state.availability_zone, endpoint_selector_options{});
        found = this->selectors
                    .emplace(std::pair(service, target_version),
                             versioned_selector{std::move(fresh), nullptr, nullptr})
                    .first;
    }
    auto& held = found->second;
    auto current = this->context.directory.load();
    auto subsets = this->context.state.subsets.load();
    if (held.directory != current || held.subsets != subsets) {
        auto const& endpoints = current->endpoints(service, target_version);
        auto const chosen = subsets->subsets.find({service, target_version});
        // All endpoints serve until the first subset is there.
        bool const has_subset = chosen != subsets->subsets.end();
        held.selector.update(endpoints, has_subset ? chosen->second : endpoints, now);
        held.directory = std::move(current);
        held.subsets = std::move(subsets);
    }
    return held.selector;
}

retry_budget& endpoint_router::budget(std::string const& service) {
    auto& held = this->budgets[service];
    if (!held) {
        held = std::make_unique<retry_budget>();
    }
    return *held;
}

} // namespace peridot
