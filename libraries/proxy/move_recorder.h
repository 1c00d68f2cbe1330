#pragma once

#include "core/time.h"
#include "moves/local_suspicion.h"

#include <functional>
#include <map>
#include <string>

namespace peridot {

struct attempt_result;
struct routed_call;

/// Records one worker's calls of services that are being moved, as evidence and for the worker's
/// own suspicion of the new version.
class move_recorder {
public:
    /// Takes in an attempt that ended. Attempts after the first one are no evidence.
    void record(routed_call const& call, attempt_result const& ended, unsigned attempt,
                nanoseconds latency, steady_time now);

private:
    std::map<std::string, local_suspicion, std::less<>> suspicions;
};

} // namespace peridot
