#pragma once

#include "processes/support/contract_terms.h"
#include "processes/support/http_caller.h"
#include "processes/support/node_process.h"
#include "processes/support/target_process.h"
#include "processes/support/tool_outcome.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot::processes {

/// A platform stand-in with nodes and targets. They run as separate processes, with settings in a
/// temporary directory and on loopback addresses that no concurrent test program uses. A process
/// that does not start fails the test. The destructor prints the logs if the test has failed.
class fleet {
public:
    fleet();
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Starts a node. Availability zones are assigned round-robin.
    node_process& add_node();
    /// Kills the node and starts it again with the same instance name and ports.
    void restart(node_process& node);
    /// Starts a target on the node's instance. The given settings override the defaults.
    target_process& add_target(node_process const& node, std::string const& version = "v1",
                               boost::json::object const& settings = {});
    /// Ends a process of the fleet with SIGKILL.
    static void kill(child_process& process) { process.end(); }

    std::vector<std::unique_ptr<node_process>>& nodes() { return this->node_list; }
    std::vector<std::unique_ptr<target_process>>& targets() { return this->target_list; }
    http_caller& http() { return this->caller; }
    socket_address const& platform() const { return this->platform_address; }

    /// Starts peridotctl with JSON output; `finish()` waits for its end.
    std::unique_ptr<child_process> start_tool(std::vector<std::string> const& arguments);
    static tool_outcome finish(child_process& tool);
    tool_outcome run_tool(std::vector<std::string> const& arguments);
    /// Writes the contract to a new file and returns its path.
    std::string contract_file(contract_terms const& terms);
    /// Applies the contract and returns the resulting version. A refusal fails the test.
    std::uint64_t apply(contract_terms const& terms);

    /// Sets the faults that the platform stand-in injects.
    bool set_faults(boost::json::object const& faults);
    /// Sets the behaviour of a target.
    bool set_behaviour(target_process const& target, boost::json::object const& behaviour);
    /// The value of a row; null if there is none.
    boost::json::value row(std::string const& key);
    std::vector<std::string> row_keys(std::string const& prefix);
    std::uint64_t head_version();
    /// The parsed manifest of the accepted version.
    boost::json::object manifest();
    /// The object's JSON; null if there is none.
    boost::json::value object(std::string const& name);

    /// The node's /status report; null if it does not answer.
    boost::json::value status(node_process const& node);
    /// The configuration version that the node holds; 0 if it does not answer.
    std::uint64_t version_of(node_process const& node);
    /// Waits until every running node holds the version or a later one.
    bool all_hold(std::uint64_t version);
    /// Waits until every running node is ready and its member table has exactly `count` serving
    /// members with this target version.
    bool all_see_serving(std::size_t count, std::string const& version = "v1");

private:
    std::unique_ptr<child_process> start(std::string const& name,
                                         std::vector<std::string> const& command);
    void start(node_process& node);
    // Gossip addresses of other nodes, so that a node can start during an outage of the platform.
    boost::json::array seeds_for(node_process const& node) const;
    std::string write_file(std::string const& name, std::string const& text) const;
    boost::json::object printed_addresses(child_process& process) const;
    void print_logs() const;

    std::filesystem::path directory;
    std::string subnet;
    std::unique_ptr<child_process> platform_process;
    socket_address platform_address;
    std::vector<std::unique_ptr<node_process>> node_list;
    std::vector<std::unique_ptr<target_process>> target_list;
    http_caller caller;
    std::uint64_t files = 0;
};

} // namespace peridot::processes
