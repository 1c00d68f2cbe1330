#include "processes/support/fleet.h"

#include "membership/member_state.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace peridot::processes {

namespace {

namespace json = boost::json;

constexpr std::size_t zone_count = 3;
constexpr char const* zones[zone_count] = {"ariana", "ben-arous", "la-marsa"};
constexpr std::size_t max_seeds = 4;
constexpr int first_host = 10;
constexpr int subnet_range = 200;
constexpr std::size_t max_printed_log = 6000;

// Nodes keep their ports over a restart, so concurrent test programs must not share an address.
std::string process_subnet() {
    auto const id = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + id % subnet_range) + "." +
           std::to_string(1 + id / subnet_range % subnet_range) + ".";
}

std::filesystem::path make_directory() {
    auto pattern = (std::filesystem::temp_directory_path() / "peridot-test-XXXXXX").string();
    auto const* made = ::mkdtemp(pattern.data());
    CHECK(made != nullptr);
    return pattern;
}

std::uint16_t port_of(json::object const& fields, std::string_view key) {
    return fields.at(key).to_number<std::uint16_t>();
}

json::object address_json(socket_address const& address) {
    return {{"ip", address.ip}, {"port", address.port}};
}

} // namespace

fleet::fleet() : directory(make_directory()), subnet(process_subnet()) {
    auto const ip = this->subnet + "1";
    this->platform_process = this->start("platform", {PERIDOT_PLATFORM_PROGRAM, "--ip", ip});
    auto const printed = this->printed_addresses(*this->platform_process);
    this->platform_address = {ip, port_of(printed, "port")};
}

fleet::~fleet() {
    if (UtestShell::getCurrent()->hasFailed()) {
        this->print_logs();
    }
    this->target_list.clear();
    this->node_list.clear();
    this->platform_process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

node_process& fleet::add_node() {
    auto const number = this->node_list.size();
    auto node = std::make_unique<node_process>();
    node->instance = "node-" + std::to_string(number + 1);
    node->availability_zone = zones[number % zone_count];
    node->calls.ip = this->subnet + std::to_string(first_host + static_cast<int>(number));
    this->node_list.push_back(std::move(node));
    this->start(*this->node_list.back());
    return *this->node_list.back();
}

void fleet::restart(node_process& node) {
    node.process->end();
    this->start(node);
}

void fleet::start(node_process& node) {
    std::string const ip = node.calls.ip;
    json::object const settings{{"instance", node.instance},
                                {"ip", ip},
                                {"availability_zone", node.availability_zone},
                                {"region", "tunis"},
                                {"platform", address_json(this->platform_address)},
                                {"seeds", this->seeds_for(node)},
                                {"ports",
                                 {{"calls", node.calls.port},
                                  {"peers", node.peers.port},
                                  {"gossip", node.gossip},
                                  {"admin", node.admin.port}}}};
    auto const file = this->write_file(node.instance + ".json", json::serialize(settings));
    node.process = this->start(node.instance, {PERIDOT_NODE_PROGRAM, "--settings", file});
    auto const printed = this->printed_addresses(*node.process);
    node.calls = {ip, port_of(printed, "calls")};
    node.peers = {ip, port_of(printed, "peers")};
    node.admin = {ip, port_of(printed, "admin")};
    node.gossip = port_of(printed, "gossip");
}

json::array fleet::seeds_for(node_process const& node) const {
    json::array seeds;
    for (auto const& other : this->node_list) {
        if (other->gossip != 0 && other.get() != &node && seeds.size() < max_seeds) {
            seeds.push_back({{"ip", other->calls.ip}, {"port", other->gossip}});
        }
    }
    return seeds;
}

target_process& fleet::add_target(node_process const& node, std::string const& version,
                                  json::object const& settings) {
    json::object all{{"ip", node.calls.ip},
                     {"service", "deposits"},
                     {"target_version", version},
                     {"node_admin", address_json(node.admin)},
                     {"slots", 100},
                     {"service_time_ms", 5}};
    for (auto const& entry : settings) {
        all[entry.key()] = entry.value();
    }
    auto const name = "target-" + std::to_string(++this->files);
    auto const file = this->write_file(name + ".json", json::serialize(all));
    auto target = std::make_unique<target_process>();
    target->process = this->start(name, {PERIDOT_TARGET_PROGRAM, "--settings", file});
    auto const printed = this->printed_addresses(*target->process);
    target->address = {node.calls.ip, port_of(printed, "port")};
    this->target_list.push_back(std::move(target));
    return *this->target_list.back();
}

std::unique_ptr<child_process> fleet::start(std::string const& name,
                                            std::vector<std::string> const& command) {
    return std::make_unique<child_process>(name, command, this->directory);
}

std::string fleet::write_file(std::string const& name, std::string const& text) const {
    auto const path = this->directory / name;
    std::ofstream(path) << text;
    return path.string();
}

json::object fleet::printed_addresses(child_process& process) const {
    boost::system::error_code failed;
    auto const printed = json::parse(process.first_line(), failed);
    CHECK_TEXT(printed.is_object(), (process.name() + " did not start: " + process.log()).c_str());
    return printed.as_object();
}

std::unique_ptr<child_process> fleet::start_tool(std::vector<std::string> const& arguments) {
    std::vector<std::string> command{PERIDOT_CTL_PROGRAM, "--platform",
                                     to_string(this->platform_address), "--output", "json"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return this->start("peridotctl-" + std::to_string(++this->files), command);
}

tool_outcome fleet::finish(child_process& tool) {
    tool_outcome outcome;
    outcome.exit_code = tool.exit_code().value_or(-1);
    boost::system::error_code failed;
    outcome.output = json::parse(tool.first_line(), failed);
    outcome.errors = tool.log();
    return outcome;
}

tool_outcome fleet::run_tool(std::vector<std::string> const& arguments) {
    auto const tool = this->start_tool(arguments);
    return finish(*tool);
}

std::string fleet::contract_file(contract_terms const& terms) {
    return this->write_file("contract-" + std::to_string(++this->files) + ".json", to_json(terms));
}

std::uint64_t fleet::apply(contract_terms const& terms) {
    auto const outcome = this->run_tool({"contract", "apply", this->contract_file(terms)});
    CHECK_TEXT(outcome.exit_code == 0, outcome.errors.c_str());
    return outcome.output.at("version").to_number<std::uint64_t>();
}

bool fleet::set_faults(json::object const& faults) {
    return this->caller.put(this->platform_address, "/admin/faults", faults);
}

bool fleet::set_behaviour(target_process const& target, json::object const& behaviour) {
    return this->caller.put(target.address, "/admin/behaviour", behaviour);
}

json::value fleet::row(std::string const& key) {
    auto const found = this->caller.get(this->platform_address, "/table/rows/" + key);
    return found.is_object() ? found.at("value") : json::value(nullptr);
}

std::vector<std::string> fleet::row_keys(std::string const& prefix) {
    auto const page =
        this->caller.get(this->platform_address, "/table/rows?limit=1000&prefix=" + prefix);
    std::vector<std::string> keys;
    if (page.is_object()) {
        for (auto const& entry : page.at("rows").as_array()) {
            keys.emplace_back(entry.at("key").as_string());
        }
    }
    return keys;
}

std::uint64_t fleet::head_version() {
    auto const head = this->row("head");
    return head.is_object() ? head.at("version").to_number<std::uint64_t>() : 0;
}

json::object fleet::manifest() {
    auto const head = this->row("head");
    auto const read =
        this->object("manifests/" + std::string(head.at("manifest").as_string().c_str()));
    CHECK(read.is_object());
    return read.as_object();
}

json::value fleet::object(std::string const& name) {
    return this->caller.get(this->platform_address, "/objects/" + name);
}

json::value fleet::status(node_process const& node) {
    return this->caller.get(node.admin, "/status");
}

std::uint64_t fleet::version_of(node_process const& node) {
    auto const report = this->status(node);
    return report.is_object() ? report.at("version").to_number<std::uint64_t>() : 0;
}

bool fleet::all_hold(std::uint64_t version) {
    return wait_until([&] {
        return std::all_of(this->node_list.begin(), this->node_list.end(), [&](auto const& node) {
            return node->process->has_ended() || this->version_of(*node) >= version;
        });
    });
}

bool fleet::all_see_serving(std::size_t count, std::string const& version) {
    auto const serving = json::value(static_cast<int>(member_state::serving));
    auto const sees = [&](auto const& node) {
        auto const report = this->status(*node);
        if (!report.is_object() || !report.at("is_ready").as_bool()) {
            return false;
        }
        auto const& members = report.at("members").as_array();
        auto const found =
            std::count_if(members.begin(), members.end(), [&](json::value const& member) {
                return member.at("state") == serving &&
                       member.at("target_version") == json::string(version);
            });
        return static_cast<std::size_t>(found) == count;
    };
    return wait_until([&] {
        return std::all_of(this->node_list.begin(), this->node_list.end(), [&](auto const& node) {
            return node->process->has_ended() || sees(node);
        });
    });
}

void fleet::print_logs() const {
    auto const print = [](child_process const& process) {
        auto const text = process.log();
        auto const first = text.size() > max_printed_log ? text.size() - max_printed_log : 0;
        std::cerr << "--- log of " << process.name() << "\n" << text.substr(first);
    };
    print(*this->platform_process);
    for (auto const& node : this->node_list) {
        if (node->process) {
            print(*node->process);
        }
    }
    for (auto const& target : this->target_list) {
        print(*target->process);
    }
}

} // namespace peridot::processes
