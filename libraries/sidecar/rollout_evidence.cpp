#include "sidecar/rollout_evidence.h"

#include "mesh/rollout_plan.h"
#include "moves/evidence_counter.h"

namespace peridot {

class rollout_evidence::implementation {
public:
    implementation(rcu_cell<fleet_view> const& fleet_views, std::string own_service)
        : views(fleet_views), service(std::move(own_service)) {}

    rcu_cell<fleet_view> const& views;
    std::string service;
    std::string id;
    evidence_counter counter;
};

rollout_evidence::rollout_evidence(rcu_cell<fleet_view> const& views, std::string service)
    : self(std::make_unique<implementation>(views, std::move(service))) {}

rollout_evidence::~rollout_evidence() = default;

void rollout_evidence::record(target_result const& observed) {
    auto const view = this->self->views.load();
    if (!view) {
        return;
    }
    auto const found = view->rollouts.find(this->self->service);
    if (found == view->rollouts.end() || found->second.phase != rollout_phase::running) {
        return;
    }
    auto const id = rollout_id(found->second);
    if (id != this->self->id) {
        this->self->id = id;
        this->self->counter = evidence_counter();
    }
    call_result call;
    call.side =
        observed.version == found->second.to ? target_side::new_version : target_side::old_version;
    call.outcome = observed.is_failure ? call_outcome::failed : call_outcome::succeeded;
    call.latency = observed.latency;
    call.pressure = static_cast<std::uint8_t>(observed.pressure);
    this->self->counter.record(observed.route, call);
}

evidence_by_route rollout_evidence::counts(std::string const& id) const {
    return id == this->self->id ? this->self->counter.counts() : evidence_by_route{};
}

} // namespace peridot
