#include "proxy/limit_hold.h"

#include "limits/limit_decision.h"
#include "limits/local_limiter.h"
#include "proxy/node_state.h"
#include "proxy/routed_call.h"

#include <algorithm>

namespace peridot {

limit_hold::~limit_hold() {
    if (this->held) {
        this->held->release();
    }
}

nanoseconds limit_hold::take(node_state const& state, routed_call const& call, steady_time now) {
    auto const table = state.limits.load();
    auto const found =
        table->limiters.find(limit_key_of(call.terms->workspace, call.grant->service));
    if (found == table->limiters.end()) {
        // The table follows the snapshot within one tick of the control thread.
        return nanoseconds::zero();
    }
    auto const decision = found->second->try_admit(now);
    if (auto const* refused = std::get_if<limit_refusal>(&decision)) {
        return std::max(refused->retry_after, nanoseconds(1));
    }
    this->held = found->second;
    return nanoseconds::zero();
}

} // namespace peridot
