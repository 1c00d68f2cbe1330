#pragma once

#include "core/result.h"
#include "core/time.h"

#include <memory>

namespace peridot {

class local_limiter;
struct node_state;
struct routed_call;

/// A call's place within its workspace's limit, given back when the call ends, however it ends.
class limit_hold {
public:
    limit_hold() = default;
    ~limit_hold();
    limit_hold(limit_hold const&) = delete;
    limit_hold& operator=(limit_hold const&) = delete;
    limit_hold(limit_hold&&) = delete;
    limit_hold& operator=(limit_hold&&) = delete;

    /// Takes a place; gives the time to wait in case of a refusal, and zero for a place.
    nanoseconds take(node_state const& state, routed_call const& call, steady_time now);

private:
    std::shared_ptr<local_limiter> held;
};

} // namespace peridot
