#pragma once

#include "configuration/contract.h"
#include "configuration/snapshot_store.h"
#include "moves/target_side.h"
#include "proxy/moved_service.h"
#include "routing/deadline.h"
#include "routing/retry_decision.h"

#include <memory>
#include <string>

namespace peridot {

/// What the entry node has found out about a call before it sends it on. The call keeps its
/// snapshot to its end, so the pointers into it stay valid.
struct routed_call {
    snapshot_store::snapshot_pointer snapshot;
    contract const* terms = nullptr;
    service_grant const* grant = nullptr;
    route const* matched = nullptr;
    service_chunk const* service = nullptr;
    std::string path;
    std::string request_id;
    std::string target_version;
    /// The service's move, if one runs, and the version that was chosen by it.
    std::shared_ptr<moved_service const> move;
    target_side side = target_side::old_version;
    deadline end;
    idempotence kind = idempotence::non_idempotent;
    /// Number of the attempt that the call arrived with; calls inside a retried call inherit it.
    unsigned attempt = 1;
};

} // namespace peridot
