#pragma once

#include "core/socket_address.h"
#include "http/http_request.h"
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

/// One instance: a sidecar in a separate process, and its target.
struct mesh_instance {
    std::string name;
    std::string ip;
    /// The node's address behind a proxy; empty without a proxy.
    std::string inner_ip;
    std::string service;
    std::string version;
    std::string settings_file;
    std::unique_ptr<child_process> node;
    std::unique_ptr<mesh_target> target;
};

/// Settings in which an instance differs from the others.
struct instance_options {
    std::string version = "v1";
    std::string availability_zone = "ariana";
    /// The store's address as configured for the node, if it is not the store itself.
    std::optional<socket_address> store;
    /// The node accepts requests from other nodes at a separate address, so that a proxy can listen
    /// at its public one.
    bool is_behind_proxy = false;
    /// Rate of the instance's link in Mbit/s, if the node knows it.
    std::optional<double> link_mbps;
    /// Memory and descriptors of the instance; no value for no limit.
    std::optional<double> memory_mb;
    std::optional<unsigned> max_descriptors;
    /// Time for which the heartbeats of its target state that it is cold.
    seconds target_cold{0};
};

/// A workspace of the configuration.
struct workspace_entry {
    std::string name;
    std::vector<std::string> keys;
    double rate_per_second = 0;
    double burst = 0;
};

/// Parts of the configuration beside its usual routes.
struct configuration_options {
    std::vector<workspace_entry> workspaces;
    /// Adds a route under /open/ that needs no key.
    bool has_public_route = false;
    /// Requests per second for cold targets of the service; zero for no limit.
    double cold_rate = 0;
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
    /// Starts an instance whose node can reach the instances started before it, but not the store.
    mesh_instance& add_with_unreachable_store(std::string const& service);
    /// Restarts the node of the instance with the same target.
    void restart(mesh_instance& instance);
    /// Stops the instance's target, if any, and starts another one with the given id.
    void replace_target(mesh_instance& instance, std::string const& id, seconds cold = seconds(0));

    /// Writes a configuration to the store that routes one lookup route under /get/, one
    /// non-idempotent route under /pay/, and the given number of additional routes to the service
    /// deposits.
    void configure(std::uint64_t version, std::size_t more_routes = 0);

    void configure(std::uint64_t version, configuration_options const& options);

    /// The request that call() sends.
    static http_request make_request(std::string const& path, std::string const& attempt,
                                     milliseconds deadline = milliseconds(5000));
    /// Sends one request through the instance's node; returns no value without a complete response.
    std::optional<http_response> call(mesh_instance const& from, std::string const& path,
                                      std::string const& attempt,
                                      milliseconds deadline = milliseconds(5000));
    /// The address to which callers on the instance send their requests.
    static socket_address calls_address(mesh_instance const& instance);
    /// The address to which other nodes send requests, and the address on which the node of an
    /// instance behind a proxy accepts them.
    static socket_address peers_address(mesh_instance const& instance);
    static socket_address proxied_peers_address(mesh_instance const& instance);
    /// An address that no instance has, and the addresses of a node that would be there.
    std::string unused_ip() const;
    static socket_address peers_address_at(std::string const& ip);
    static socket_address control_address_at(std::string const& ip);
    /// The addresses of the node's heartbeats and of its exchange with other nodes.
    static socket_address heartbeats_address(mesh_instance const& instance);
    static socket_address control_address(mesh_instance const& instance);
    /// Whether the node accepts new requests.
    bool is_ready(mesh_instance const& instance);
    /// Prints the logs and the output of all nodes.
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
