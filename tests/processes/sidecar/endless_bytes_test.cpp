#include "http/endless_server.h"
#include "mesh/member.h"
#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"
#include "sidecar/member_json.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>
#include <utility>

using namespace peridot;
using namespace peridot::http_tests;
using namespace peridot::processes;

namespace {

// The memory of an instance of the users' deployments.
constexpr std::size_t memory_limit = std::size_t{260} * 1024 * 1024;

constexpr std::size_t min_connections = 3;

member make_member(std::string instance, std::string ip, std::string service) {
    member faulty;
    faulty.instance = std::move(instance);
    faulty.ip = std::move(ip);
    faulty.availability_zone = "ariana";
    faulty.processor_share = 1;
    faulty.target.id = "i-faulty";
    faulty.target.service = std::move(service);
    faulty.target.version = "v1";
    faulty.target.slots = 100;
    return faulty;
}

} // namespace

// A peer or a store that writes bytes without end.
TEST_GROUP(endless_bytes) {
    sidecar_fleet fleet;
    int attempts = 0;

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    bool is_served(mesh_instance const& from, std::string const& path) {
        auto const answer =
            this->fleet.call(from, path, "attempt-" + std::to_string(++this->attempts));
        return answer && answer->status == 200;
    }

    // Returns whether requests are served until the server was called several times. Each call
    // without an answer lengthens the pause before the next one.
    bool is_served_beside(mesh_instance const& from, endless_server const& server) {
        std::size_t failed = 0;
        bool const is_over = wait_until([&] {
            failed += this->is_served(from, "/get/1") ? 0 : 1;
            return server.connections() >= min_connections;
        });
        return is_over && failed == 0;
    }

    static void check_alive(mesh_instance const& instance) {
        CHECK_FALSE(instance.node->has_ended());
        CHECK(instance.node->peak_memory_bytes() > 0);
        CHECK(instance.node->peak_memory_bytes() < memory_limit);
    }
};

// Guards against a node that keeps what a faulty node writes without end where rows are due, and
// runs out of memory with the requests of all its clients.
TEST(endless_bytes, of_a_node_that_is_asked_for_rows_are_given_up) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until([&] { return is_served(caller, "/get/1"); }));
    auto const faulty_ip = fleet.unused_ip();
    endless_server const rows(sidecar_fleet::control_address_at(faulty_ip));
    // The first node of the zone by name and share, which the others ask for rows.
    auto const faulty = make_member("a-faulty-node", faulty_ip, "tickets");
    fleet.store().put("peridot", "member/" + faulty.instance, encode_member(faulty));
    CHECK(is_served_beside(caller, rows));
    CHECK(rows.written_bytes() > 0);
    fleet.configure(2, 5);
    CHECK(wait_until([&] { return is_served(caller, "/more4/1"); }));
    check_alive(caller);
    check_alive(target);
}

// Guards against the same where a faulty node answers requests.
TEST(endless_bytes, of_a_node_that_is_offered_requests_are_given_up) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until([&] { return is_served(caller, "/get/1"); }));
    auto const faulty_ip = fleet.unused_ip();
    endless_server const answers(sidecar_fleet::peers_address_at(faulty_ip));
    auto const faulty = make_member("z-faulty-node", faulty_ip, "deposits");
    fleet.store().put("peridot", "member/" + faulty.instance, encode_member(faulty));
    CHECK(wait_until([&] {
        is_served(caller, "/get/1");
        return answers.connections() >= min_connections;
    }));
    fleet.store().put("peridot", "member/" + faulty.instance, "{}");
    CHECK(wait_until([&] { return is_served(caller, "/pay/1"); }));
    check_alive(caller);
    check_alive(target);
}

// Guards against the same where the store answers, and against requests that wait for it.
TEST(endless_bytes, of_the_store_are_given_up) {
    fleet.configure(1);
    auto& target = fleet.add("deposits");
    CHECK(wait_until([&] { return is_served(target, "/get/1"); }));
    socket_address const address{fleet.unused_ip(), 18'999};
    endless_server const store(address);
    instance_options options;
    options.store = address;
    auto& caller = fleet.add("plants", options);
    CHECK(wait_until([&] { return is_served(caller, "/get/1"); }));
    CHECK(is_served_beside(caller, store));
    fleet.configure(2, 5);
    CHECK(wait_until([&] { return is_served(caller, "/more4/1"); }));
    check_alive(caller);
    check_alive(target);
}
