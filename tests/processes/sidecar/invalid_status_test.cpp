#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr unsigned bad_gateway = 502;
// Maximum number of times that an idempotent request is sent, as the fleet configures its routes.
constexpr std::size_t attempts_of_route = 3;

} // namespace

TEST_GROUP(invalid_status) {
    sidecar_fleet fleet;

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }
};

// Guards against a status that is no answer reaching the caller as the target's sealed response,
// and against a second send of a request whose outcome is unknown.
TEST(invalid_status, status_that_is_no_answer_is_an_unknown_outcome) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until([&] {
        auto const answer = fleet.call(caller, "/get/1", "warm-up");
        return answer && answer->status == 200;
    }));
    for (unsigned const status : {0U, 101U}) {
        target.target->set_status(status);
        // From another instance and from the target's own one.
        for (auto const* from : {&caller, &target}) {
            for (std::string const path : {"/get/1", "/pay/1"}) {
                std::string const attempt = from->name + path + std::to_string(status);
                auto const answer = fleet.call(*from, path, attempt);
                CHECK(answer.has_value());
                UNSIGNED_LONGS_EQUAL(bad_gateway, answer->status);
                CHECK_FALSE(answer->headers.contains("X-Server-Seal"));
                CHECK_FALSE(answer->headers.contains("Retry-After"));
                auto const runs = target.target->run_count(attempt);
                CHECK(runs >= 1);
                CHECK(runs <= (path == "/pay/1" ? 1 : attempts_of_route));
            }
        }
    }
    CHECK_FALSE(caller.node->has_ended());
    CHECK_FALSE(target.node->has_ended());
}
