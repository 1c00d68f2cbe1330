#include "processes/mesh_support/sidecar_fleet.h"

#include "processes/support/http_caller.h"

#include <boost/json.hpp>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <system_error>
#include <unistd.h>

namespace peridot::processes {

namespace {

namespace json = boost::json;

constexpr int subnet_range = 200;
constexpr int first_host = 10;
// Offset from an instance's host number to that of its node behind a proxy.
constexpr int inner_host_distance = 100;
// No process listens on this port.
constexpr std::uint16_t closed_port = 9;
constexpr std::uint16_t target_port = 18'301;
constexpr std::uint16_t calls_port = 18'304;
constexpr std::uint16_t peers_port = 18'300;
constexpr std::uint16_t ready_port = 18'302;
constexpr std::uint16_t heartbeats_port = 18'306;
constexpr std::uint16_t control_port = 18'320;

std::string make_subnet() {
    auto const id = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + id % subnet_range) + "." +
           std::to_string(1 + id / subnet_range % subnet_range) + ".";
}

std::filesystem::path make_directory() {
    auto pattern = (std::filesystem::temp_directory_path() / "peridot-sidecar-XXXXXX").string();
    auto const* made = ::mkdtemp(pattern.data());
    if (made == nullptr) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    return pattern;
}

json::object route_json(std::string const& name, std::string const& prefix,
                        std::string const& kind) {
    json::object const spec{{"Host", "mesh.example"}, {"Prefix", prefix}, {"Kind", kind},
                            {"TimeoutS", 10},         {"Priority", 1},    {"Service", "deposits"},
                            {"TargetLatencyS", 5},    {"Attempts", 3}};
    return {{"TypeUrl", "Routes"}, {"Metadata", {{"Name", name}}}, {"Spec", spec}};
}

} // namespace

sidecar_fleet::sidecar_fleet() : directory(make_directory()), subnet(make_subnet()) {
    this->platform = std::make_unique<store_standin>(this->subnet + "2");
}

sidecar_fleet::~sidecar_fleet() {
    for (auto& instance : this->instances) {
        instance->node.reset();
    }
    this->instances.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

mesh_instance& sidecar_fleet::add_with_unreachable_store(std::string const& service) {
    instance_options options;
    options.store = socket_address{this->subnet + "2", closed_port};
    return this->add(service, options);
}

mesh_instance& sidecar_fleet::add(std::string const& service, instance_options const& options) {
    auto instance = std::make_unique<mesh_instance>();
    auto const number = first_host + static_cast<int>(this->instances.size());
    instance->name = "instance-" + std::to_string(number);
    instance->ip = this->subnet + std::to_string(number);
    instance->service = service;
    instance->version = options.version;
    if (options.is_behind_proxy) {
        instance->inner_ip = this->subnet + std::to_string(number + inner_host_distance);
    }
    auto const address = [&](std::uint16_t port) {
        return instance->ip + ":" + std::to_string(port);
    };
    auto const peers =
        options.is_behind_proxy ? proxied_peers_address(*instance) : peers_address(*instance);
    json::object settings{{"instance", instance->name},
                          {"ip", instance->ip},
                          {"availability_zone", options.availability_zone},
                          {"service", service},
                          {"target", address(target_port)},
                          {"calls", address(calls_port)},
                          {"peers", to_string(peers)},
                          {"ready", address(ready_port)},
                          {"heartbeats", address(heartbeats_port)},
                          {"control_port", control_port},
                          {"seeds", this->control_addresses()},
                          {"store", to_string(options.store.value_or(this->platform->address()))}};
    if (options.link_mbps) {
        settings["link_mbps"] = *options.link_mbps;
    }
    if (options.memory_mb) {
        settings["memory_mb"] = *options.memory_mb;
    }
    if (options.max_descriptors) {
        settings["max_descriptors"] = *options.max_descriptors;
    }
    instance->settings_file = this->directory / (instance->name + ".json");
    std::ofstream(instance->settings_file) << json::serialize(settings);
    this->start(*instance);
    this->replace_target(*instance, "i-" + std::to_string(number), options.target_cold);
    this->instances.push_back(std::move(instance));
    return *this->instances.back();
}

void sidecar_fleet::replace_target(mesh_instance& instance, std::string const& id, seconds cold) {
    instance.target.reset();
    instance.target = std::make_unique<mesh_target>(socket_address{instance.ip, target_port},
                                                    socket_address{instance.ip, heartbeats_port},
                                                    id, instance.service, instance.version, cold);
}

json::array sidecar_fleet::control_addresses() const {
    json::array addresses;
    for (auto const& instance : this->instances) {
        addresses.emplace_back(instance->ip + ":" + std::to_string(control_port));
    }
    return addresses;
}

void sidecar_fleet::restart(mesh_instance& instance) {
    this->start(instance);
}

void sidecar_fleet::start(mesh_instance& instance) {
    instance.node.reset();
    std::vector<std::string> const command{PERIDOT_SIDECAR_PROGRAM, "--settings",
                                           instance.settings_file};
    instance.node = std::make_unique<child_process>(instance.name, command, this->directory);
}

void sidecar_fleet::configure(std::uint64_t version, std::size_t more_routes) {
    json::array resources;
    resources.push_back(route_json("get", "/get/", "idempotent"));
    resources.push_back(route_json("pay", "/pay/", "non_idempotent"));
    for (std::size_t index = 0; index < more_routes; ++index) {
        auto const name = "more" + std::to_string(index);
        resources.push_back(route_json(name, "/" + name + "/", "idempotent"));
    }
    resources.push_back({{"TypeUrl", "Services"},
                         {"Metadata", {{"Name", "deposits"}}},
                         {"Spec", {{"HealthPath", "/health"}, {"MaxConnections", 100}}}});
    json::object configuration;
    configuration["Version"] = "r" + std::to_string(version);
    configuration["Resources"] = std::move(resources);
    this->platform->put("op", "config", json::serialize(configuration));
}

void sidecar_fleet::configure(std::uint64_t version, configuration_options const& options) {
    json::array resources;
    resources.push_back(route_json("get", "/get/", "idempotent"));
    resources.push_back(route_json("pay", "/pay/", "non_idempotent"));
    if (options.has_public_route) {
        auto route = route_json("open", "/open/", "idempotent");
        route["Spec"].as_object()["Public"] = true;
        resources.push_back(std::move(route));
    }
    for (auto const& each : options.workspaces) {
        json::object const spec{{"ApiKeys", json::array(each.keys.begin(), each.keys.end())},
                                {"RatePerS", each.rate_per_second},
                                {"Burst", each.burst}};
        resources.push_back(
            {{"TypeUrl", "Tenants"}, {"Metadata", {{"Name", each.name}}}, {"Spec", spec}});
    }
    json::object const spec{
        {"HealthPath", "/health"}, {"MaxConnections", 100}, {"ColdPerS", options.cold_rate}};
    resources.push_back(
        {{"TypeUrl", "Services"}, {"Metadata", {{"Name", "deposits"}}}, {"Spec", spec}});
    json::object configuration;
    configuration["Version"] = "r" + std::to_string(version);
    configuration["Resources"] = std::move(resources);
    this->platform->put("op", "config", json::serialize(configuration));
}

http_request sidecar_fleet::make_request(std::string const& path, std::string const& attempt,
                                         milliseconds deadline) {
    http_request request;
    request.method = path.starts_with("/pay/") ? "POST" : "GET";
    request.target = path;
    request.host = "mesh.example";
    request.headers.set("X-Attempt-Id", attempt);
    request.headers.set("X-Deadline-Ms", std::to_string(deadline.count()));
    request.headers.set("X-Caller-Service", "forged");
    return request;
}

std::optional<http_response> sidecar_fleet::call(mesh_instance const& from, std::string const& path,
                                                 std::string const& attempt,
                                                 milliseconds deadline) {
    http_caller caller;
    return caller.call(calls_address(from), make_request(path, attempt, deadline));
}

void sidecar_fleet::print_logs(std::ostream& out) const {
    for (auto const& instance : this->instances) {
        if (instance->node) {
            out << "--- " << instance->name << "\n"
                << instance->node->log() << instance->node->output() << "\n";
        }
    }
}

socket_address sidecar_fleet::heartbeats_address(mesh_instance const& instance) {
    return {instance.ip, heartbeats_port};
}

socket_address sidecar_fleet::control_address(mesh_instance const& instance) {
    return control_address_at(instance.ip);
}

socket_address sidecar_fleet::peers_address(mesh_instance const& instance) {
    return peers_address_at(instance.ip);
}

std::string sidecar_fleet::unused_ip() const {
    return this->subnet + "250";
}

socket_address sidecar_fleet::peers_address_at(std::string const& ip) {
    return {ip, peers_port};
}

socket_address sidecar_fleet::control_address_at(std::string const& ip) {
    return {ip, control_port};
}

socket_address sidecar_fleet::proxied_peers_address(mesh_instance const& instance) {
    return {instance.inner_ip, peers_port};
}

socket_address sidecar_fleet::calls_address(mesh_instance const& instance) {
    return {instance.ip, calls_port};
}

bool sidecar_fleet::is_ready(mesh_instance const& instance) {
    http_request probe;
    probe.target = "/ready";
    http_caller caller;
    auto const answer = caller.call({instance.ip, ready_port}, probe);
    return answer && answer->status == 200;
}

} // namespace peridot::processes
