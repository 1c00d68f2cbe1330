#pragma once

#include "mesh/caller_limits.h"
#include "mesh/mesh_route.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// An immutable version of the configuration, indexed for look-ups.
class mesh_configuration {
public:
    /// `services` maps each service to the number of connections that one of its targets accepts.
    mesh_configuration(std::uint64_t version, std::vector<mesh_route> routes,
                       std::map<std::string, std::size_t> services, caller_limits limits);
    ~mesh_configuration();
    mesh_configuration(mesh_configuration const&) = delete;
    mesh_configuration& operator=(mesh_configuration const&) = delete;
    mesh_configuration(mesh_configuration&&) = delete;
    mesh_configuration& operator=(mesh_configuration&&) = delete;

    std::uint64_t version() const;

    /// Returns the route of the host with the longest prefix that matches the path, or null if
    /// there is none. A port in the host and the query of the path are ignored.
    mesh_route const* find(std::string_view host, std::string_view path) const;

    std::size_t route_count() const;
    /// Number of connections that a target of the service accepts; zero for an unknown service.
    std::size_t connections(std::string_view service) const;
    caller_limits const& limits() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
