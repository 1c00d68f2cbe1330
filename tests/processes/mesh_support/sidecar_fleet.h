#pragma once

#include "core/socket_address.h"
#include "http/http_response.h"
#include "processes/mesh_support/mesh_target.h"
#include "processes/mesh_support/store_standin.h"
#include "processes/support/child_process.h"

#include <boost/json/array.hpp>

#include <filesystem>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot::processes {

/// One instance: a sidecar as a process of its own, and its target.
struct mesh_instance {
    std::string name;
    std::string ip;
    /// Address behind a proxy; empty without one.
    std::string inner_ip;
    std::string service;
    std::string version;
    std::string settings_file;
    std::unique_ptr<child_process> node;
    std::unique_ptr<mesh_target> target;
};

/// Where an instance differs from the others.
struct instance_options {
    std::string version = "v1";
    std::string availability_zone = "ariana";
    /// Where the node finds the store, if not at the store itself.
    std::optional<socket_address> store;
    /// The node takes other nodes' requests at an address of its own, so that a proxy can listen at
    /// the one that they know.
    bool is_behind_proxy = false;
};

/// Sidecars with their targets and a store, on loopback addresses that no other test program uses.
class sidecar_fleet {
public:
    sidecar_fleet();
    ~sidecar_fleet();
    sidecar_fleet(sidecar_fleet const&) = delete;
    sidecar_fleet& operator=(sidecar_fleet const&) = delete;
    sidecar_fleet(sidecar_fleet&&) = delete;
    sidecar_fleet& operator=(sidecar_fleet&&) = delete;

    store_standin& store() { return *this->platform; }

    /// Starts an instance; it need not be ready when the call returns.
    mesh_instance& add(std::string const& service, instance_options const& options = {});
    /// Starts an instance whose node cannot reach the store, only the instances before it.
    mesh_instance& add_with_unreachable_store(std::string const& service);
    /// Starts the node of the instance again, beside the same target.
    void restart(mesh_instance& instance);
    /// Ends the instance's target, if any, and starts another one with the id.
    void replace_target(mesh_instance& instance, std::string const& id);

    /// Puts a configuration of one route of each kind to the service deposits into the store:
    /// lookups under /get/, non-idempotent requests under /pay/, and as many more as wanted.
    void configure(std::uint64_t version, std::size_t more_routes = 0);

    /// Sends one request through the instance's node; no value without a whole answer.
    std::optional<http_response> call(mesh_instance const& from, std::string const& path,
                                      std::string const& attempt,
                                      milliseconds deadline = milliseconds(5000));
    /// Where callers on the instance send their requests.
    static socket_address calls_address(mesh_instance const& instance);
    /// Where other nodes send requests, and where the node of an instance behind a proxy takes
    /// them.
    static socket_address peers_address(mesh_instance const& instance);
    static socket_address proxied_peers_address(mesh_instance const& instance);
    /// Whether the node takes new work.
    bool is_ready(mesh_instance const& instance);
    /// What all nodes have written.
    void print_logs(std::ostream& out) const;

private:
    boost::json::array control_addresses() const;
    void start(mesh_instance& instance);

    std::filesystem::path directory;
    std::string subnet;
    std::unique_ptr<store_standin> platform;
    std::vector<std::unique_ptr<mesh_instance>> instances;
};

} // namespace peridot::processes
