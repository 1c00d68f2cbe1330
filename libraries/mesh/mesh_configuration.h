#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

struct caller_limits;
struct configuration_content;
struct mesh_route;
struct service_terms;
struct workspace;

/// An immutable version of the configuration, indexed for look-ups.
class mesh_configuration {
public:
    explicit mesh_configuration(configuration_content content);
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
    /// Returns null for an unknown service.
    service_terms const* find_service(std::string_view service) const;

    /// Returns the workspace that holds the key, or null if there is none. Only digests are
    /// compared, so the time that this takes says nothing about the keys.
    workspace const* find_workspace(std::string_view key) const;
    /// Whether callers have to identify themselves by a key.
    bool has_workspaces() const;
    std::vector<workspace> const& workspaces() const;
    /// The form in which keys are held, so that no dump or log of the configuration reveals them.
    static std::string digest(std::string_view key);

    caller_limits const& limits() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
