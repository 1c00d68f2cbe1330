#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"
#include "processes/uncontrolled_clients/crowd.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

namespace json = boost::json;

constexpr std::size_t mega = 1'000'000;
// The settings of the nodes, and what their processes must stay below. Without a bound, the crowds
// of bodies below take 151 to 412 MB.
constexpr std::size_t memory_mb = 64;
constexpr unsigned max_descriptors = 256;
constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t sent_body_bytes = max_body_bytes - 1024;
constexpr std::size_t body_clients = 24;
constexpr std::size_t large_piece = std::size_t{256} * 1024;
constexpr std::size_t small_piece = std::size_t{8} * 1024;
constexpr std::size_t head_clients = 150;
constexpr std::size_t head_bytes = 15'000;
constexpr std::size_t reading_clients = 100;
constexpr std::size_t idle_clients = 600;
constexpr std::size_t short_clients = 3000;
// The smallest instances have 160 MB, and a caller may send 64 MiB by default.
constexpr std::size_t smallest_memory_mb = 160;
constexpr std::size_t largest_body_bytes = std::size_t{64} * 1024 * 1024;

json::object make_route(std::string const& name, std::string const& kind) {
    return {{"TypeUrl", "Routes"},
            {"Metadata", {{"Name", name}}},
            {"Spec",
             {{"Host", "mesh.example"},
              {"Prefix", "/" + name + "/"},
              {"Kind", kind},
              {"TimeoutS", 30},
              {"Priority", 1},
              {"Service", "deposits"},
              {"TargetLatencyS", 20},
              {"Attempts", 3}}}};
}

std::string make_configuration(std::size_t body_bytes, bool has_workspaces) {
    json::array resources{
        make_route("get", "idempotent"), make_route("pay", "non_idempotent"),
        json::object{{"TypeUrl", "Services"},
                     {"Metadata", {{"Name", "deposits"}}},
                     {"Spec", {{"HealthPath", "/health"}, {"MaxConnections", 100}}}},
        json::object{{"TypeUrl", "Limits"},
                     {"Metadata", {{"Name", "limits"}}},
                     {"Spec",
                      {{"MaxHeaderBytes", 16'384},
                       {"MaxBodyBytes", body_bytes},
                       {"HeaderTimeoutS", 3},
                       {"IdleTimeoutS", 15}}}}};
    if (has_workspaces) {
        resources.push_back(json::object{{"TypeUrl", "Tenants"},
                                         {"Metadata", {{"Name", "acme"}}},
                                         {"Spec", {{"ApiKeys", {"key-1"}}}}});
    }
    return json::serialize(json::object{{"Version", "r1"}, {"Resources", std::move(resources)}});
}

} // namespace

// Clients that send legal requests which take as much of the node's memory and descriptors as the
// limits allow, and never end.
TEST_GROUP(uncontrolled_clients) {
    sidecar_fleet fleet;
    mesh_instance* entry = nullptr;
    mesh_instance* gate = nullptr;
    int attempts = 0;

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    // Starts an entry node without a target of the routes, and the node beside their target.
    void start(std::size_t memory, std::size_t body_bytes, bool has_workspaces = false) {
        this->fleet.store().put("op", "config", make_configuration(body_bytes, has_workspaces));
        instance_options options;
        options.memory_mb = memory;
        options.max_descriptors = max_descriptors;
        this->entry = &this->fleet.add("plants", options);
        this->gate = &this->fleet.add("deposits", options);
        this->check_served();
    }

    http_request make_request(std::string const& path, std::string body) {
        http_request request;
        request.method = path.starts_with("/pay/") ? "POST" : "GET";
        request.target = path;
        request.host = "mesh.example";
        request.body = std::move(body);
        request.headers.set("X-Attempt-Id", "attempt-" + std::to_string(++this->attempts));
        request.headers.set("X-Deadline-Ms", "20000");
        request.headers.set("Authorization", "Bearer key-1");
        return request;
    }

    bool is_served(std::string const& path, std::string const& body) {
        http_caller caller;
        auto const answer =
            caller.call(sidecar_fleet::calls_address(*this->entry), this->make_request(path, body));
        return answer && answer->status == 200;
    }

    // An ordinary caller gets its answers; it may have to send again.
    void check_served() {
        CHECK(wait_until([&] { return this->is_served("/get/1", ""); }));
        CHECK(wait_until([&] { return this->is_served("/pay/1", "a small body"); }));
    }

    static void print_usage(mesh_instance const& instance) {
        std::cout << instance.name << ": peak " << instance.node->peak_memory_bytes() / mega
                  << " MB, " << instance.node->open_descriptors() << " descriptors\n";
    }

    void check_bounds(std::size_t memory) {
        for (auto const* instance : {this->entry, this->gate}) {
            print_usage(*instance);
            CHECK_FALSE(instance->node->has_ended());
            CHECK(instance->node->peak_memory_bytes() > 0);
            CHECK(instance->node->peak_memory_bytes() < memory * mega);
            CHECK(instance->node->open_descriptors() < max_descriptors);
        }
    }

    void check_bodies(body_plan plan) {
        plan.bytes = sent_body_bytes;
        crowd clients(sidecar_fleet::calls_address(*this->entry));
        clients.send_bodies(body_clients, plan);
        this->check_served();
        this->check_bounds(memory_mb);
    }
};

// Guards against a node that keeps every body which a client has not completed.
TEST(uncontrolled_clients, stalled_bodies_with_a_length) {
    start(memory_mb, max_body_bytes);
    check_bodies({"/pay/1", 0, false, large_piece, 1});
}

TEST(uncontrolled_clients, stalled_bodies_in_chunks) {
    start(memory_mb, max_body_bytes);
    check_bodies({"/pay/1", 0, true, large_piece, 1});
}

TEST(uncontrolled_clients, stalled_bodies_in_small_pieces) {
    start(memory_mb, max_body_bytes);
    check_bodies({"/pay/1", 0, false, small_piece, 1});
    check_bodies({"/pay/1", 0, true, small_piece, 1});
}

TEST(uncontrolled_clients, stalled_bodies_without_a_route) {
    start(memory_mb, max_body_bytes);
    check_bodies({"/nowhere/1", 0, false, large_piece, 1});
}

TEST(uncontrolled_clients, bodies_without_a_key) {
    start(memory_mb, max_body_bytes, true);
    check_bodies({"/pay/1", 0, false, large_piece, 1});
    check_bodies({"/pay/1", 0, true, large_piece, 0});
}

// Guards against a node that keeps every complete body until its slow target has answered, and
// copies it for each hop.
TEST(uncontrolled_clients, whole_bodies_towards_a_slow_target) {
    start(memory_mb, max_body_bytes);
    gate->target->set_work_time(milliseconds(1000));
    check_bodies({"/pay/1", 0, false, large_piece, 0});
}

// Guards against a node that keeps the responses that its clients do not read.
TEST(uncontrolled_clients, large_responses_that_are_not_read) {
    start(memory_mb, max_body_bytes);
    gate->target->set_large_bodies(64);
    crowd clients(sidecar_fleet::calls_address(*entry));
    clients.send(reading_clients, "GET /get/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                                  "X-Deadline-Ms: 20000\r\nX-Attempt-Id: reader\r\n\r\n");
    gate->target->set_large_bodies(0);
    check_served();
    check_bounds(memory_mb);
}

// Guards against heads that hold a connection and its buffer for as long as their client likes.
TEST(uncontrolled_clients, heads_that_never_end) {
    start(memory_mb, max_body_bytes);
    crowd clients(sidecar_fleet::calls_address(*entry));
    clients.send(head_clients, "GET /get/1 HTTP/1.1\r\nX-Fill: " + std::string(head_bytes, 'x'));
    check_served();
    check_bounds(memory_mb);
}

// Guards against idle connections that take the descriptors which a node needs for others.
TEST(uncontrolled_clients, idle_connections) {
    start(memory_mb, max_body_bytes);
    crowd clients(sidecar_fleet::calls_address(*entry));
    clients.send(idle_clients, "");
    check_served();
    check_bounds(memory_mb);
}

TEST(uncontrolled_clients, short_connections) {
    start(memory_mb, max_body_bytes);
    crowd clients(sidecar_fleet::calls_address(*entry));
    clients.open_and_close(short_clients);
    check_served();
    check_bounds(memory_mb);
}

// Guards against a bound that refuses a single request within the limits on the smallest instance.
TEST(uncontrolled_clients, largest_body_is_served_by_the_smallest_instances) {
    start(smallest_memory_mb, largest_body_bytes);
    CHECK(is_served("/pay/1", std::string(largest_body_bytes, 'x')));
    check_bounds(smallest_memory_mb);
}
