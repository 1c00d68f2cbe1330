#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace peridot {

struct fleet_view;

/// What all nodes together may send again to a service.
struct fleet_retry_limit {
    /// Repeats per request of the service.
    double ratio = 0;
    /// Repeats beyond the ratio, for the whole fleet.
    double reserve = 0;
};

/// A node's part of the repeats that the fleet may send to each service.
///
/// Each node keeps to its own part without asking anybody: a ratio of its own requests, and an even
/// part of what the fleet may send beyond that. Parts of the limit stay unused, since calls that a
/// repeated request makes count as repeats too, and a restarted node begins anew.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(fleet_retry_limit limit);
    ~fleet_retry_budget();
    fleet_retry_budget(fleet_retry_budget const&) = delete;
    fleet_retry_budget& operator=(fleet_retry_budget const&) = delete;
    fleet_retry_budget(fleet_retry_budget&&) = delete;
    fleet_retry_budget& operator=(fleet_retry_budget&&) = delete;

    /// Counts a first attempt.
    void record_request(std::string const& service, fleet_view const& view);

    /// Takes one repeat; false when there is none left.
    bool try_take(std::string const& service, fleet_view const& view);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
