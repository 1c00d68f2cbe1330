#pragma once

#include <map>
#include <memory>
#include <string>

namespace peridot {

struct mesh_route;

/// Divides the requests of a node among the services of a route and among the versions of a service
/// in the shares given. The division is exact over any number of requests, not only on average, so
/// a small share is kept to from the first request on.
class share_selector {
public:
    share_selector();
    ~share_selector();
    share_selector(share_selector const&) = delete;
    share_selector& operator=(share_selector const&) = delete;
    share_selector(share_selector&&) = delete;
    share_selector& operator=(share_selector&&) = delete;

    /// The service that the next request of the route goes to.
    std::string const& choose_service(mesh_route const& route);

    /// The version that the next request of the service goes to; there is at least one share.
    std::string const& choose_version(std::string const& service,
                                      std::map<std::string, double> const& shares);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
