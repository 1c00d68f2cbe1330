#pragma once

namespace peridot {

/// Largest number of requests that a bad version may get during a whole roll-out: a share of those
/// that reach the service between the order and its deadline, and a fixed number on top.
struct exposure_limits {
    double share = 0.1;
    double extra_requests = 0;
};

} // namespace peridot
