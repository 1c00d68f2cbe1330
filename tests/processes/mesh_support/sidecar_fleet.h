#pragma once

#include "core/socket_address.h"
#include "http/http_response.h"
#include "processes/sidecar/mesh_target.h"
#include "processes/sidecar/store_standin.h"
#include "processes/support/child_process.h"

#include <boost/json/array.hpp>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot::processes {

/// One instance: a sidecar as a process of its own, and its target.
struct mesh_instance {
    std::string name;
    std::string ip;
    std::string settings_file;
    std::unique_ptr<child_process> node;
    std::unique_ptr<mesh_target> target;
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
    mesh_instance& add(std::string const& service, std::string const& version = "v1");
    /// Starts an instance whose node cannot reach the store, only the instances before it.
    mesh_instance& add_without_store(std::string const& service);
    /// Starts the node of the instance again, beside the same target.
    void restart(mesh_instance& instance);

    /// Puts a configuration of one route of each kind to the service deposits into the store:
    /// lookups under /get/, non-idempotent requests under /pay/, and as many more as wanted.
    void configure(std::uint64_t version, std::size_t more_routes = 0);

    /// Sends one request through the instance's node; no value without a whole answer.
    std::optional<http_response> call(mesh_instance const& from, std::string const& path,
                                      std::string const& attempt,
                                      milliseconds deadline = milliseconds(5000));
    /// Where callers on the instance send their requests.
    static socket_address calls_address(mesh_instance const& instance);
    /// Whether the node takes new work.
    bool is_ready(mesh_instance const& instance);

private:
    mesh_instance& add_with_store(std::string const& service, std::string const& version,
                                  std::string const& store);
    boost::json::array control_addresses() const;
    void start(mesh_instance& instance);

    std::filesystem::path directory;
    std::string subnet;
    std::unique_ptr<store_standin> platform;
    std::vector<std::unique_ptr<mesh_instance>> instances;
};

} // namespace peridot::processes
