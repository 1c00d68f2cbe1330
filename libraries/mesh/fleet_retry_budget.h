#pragma once

#include "core/boot_clock.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridot {

struct fleet_view;

/// Limit on the retries to a service from all nodes together.
struct fleet_retry_limit {
    /// Retries per request to the service.
    double ratio = 0;
    /// Retries in addition to the ratio, for the whole fleet.
    double reserve = 0;
};

/// A node's part of the fleet-wide retry budget of each service.
///
/// Each node applies its own part without coordination: a ratio of its own requests and an even
/// part of the reserve of the fleet. Half of the limit stays unused, since calls made by a retried
/// request count as retries too and a restarted node starts with a full budget.
///
/// Answers targets that all refuse a part of their requests: a frequent route would use up every
/// retry, so that a route with few requests gets none. The last retry is therefore kept for the
/// routes that together make few of the service's requests. The current time is passed as an
/// argument.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(fleet_retry_limit limit);
    ~fleet_retry_budget();
    fleet_retry_budget(fleet_retry_budget const&) = delete;
    fleet_retry_budget& operator=(fleet_retry_budget const&) = delete;
    fleet_retry_budget(fleet_retry_budget&&) = delete;
    fleet_retry_budget& operator=(fleet_retry_budget&&) = delete;

    /// Counts the first attempt of a request of the route.
    void record_request(std::string const& service, std::string const& route,
                        fleet_view const& view, boot_time now);

    /// Takes one retry for a request of the route. Returns false if none is left for it.
    bool try_take(std::string const& service, std::string const& route, fleet_view const& view,
                  boot_time now);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
