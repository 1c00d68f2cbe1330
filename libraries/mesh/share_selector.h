#pragma once

#include <map>
#include <memory>
#include <string>

namespace peridot {

struct mesh_route;

/// Distributes a node's requests among the services of a route and among the versions of a service
/// according to the given shares. The distribution is exact over any number of requests and not
/// only on average, so that even a small share is exact from the first request on.
class share_selector {
public:
    share_selector();
    ~share_selector();
    share_selector(share_selector const&) = delete;
    share_selector& operator=(share_selector const&) = delete;
    share_selector(share_selector&&) = delete;
    share_selector& operator=(share_selector&&) = delete;

    /// Returns the service for the next request of the route.
    std::string const& choose_service(mesh_route const& route);

    /// Returns the version for the next request to the service. `shares` must not be empty.
    std::string const& choose_version(std::string const& service,
                                      std::map<std::string, double> const& shares);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
