#include "sidecar/rollout_evidence.h"

#include "mesh/rollout_plan.h"
#include "sidecar/observed_request.h"
#include "sidecar/request_observer.h"

#include <optional>
#include <utility>

namespace peridot {

rollout_evidence::rollout_evidence(rcu_cell<fleet_view> const& views, std::string service)
    : views(views), service(std::move(service)), observer(std::make_shared<request_observer>()) {}

rollout_evidence::~rollout_evidence() = default;

std::shared_ptr<observed_request> rollout_evidence::start(std::string route,
                                                          std::string const& version,
                                                          unsigned pressure, boot_time now) {
    std::optional<target_side> side;
    auto const view = this->views.load();
    if (view) {
        auto const found = view->rollouts.find(this->service);
        if (found != view->rollouts.end() && found->second.phase == rollout_phase::running) {
            this->observer->set_rollout(rollout_id(found->second));
            side =
                version == found->second.to ? target_side::new_version : target_side::old_version;
        }
    }
    auto const number = this->observer->start(std::move(route), side, pressure, now);
    return std::make_shared<observed_request>(this->observer, number);
}

evidence_by_route rollout_evidence::counts(std::string const& id, boot_time now) const {
    return id == this->observer->rollout() ? this->observer->counts(now) : evidence_by_route{};
}

} // namespace peridot
