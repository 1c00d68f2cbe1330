#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

// A body of 64 KiB takes more than half a second on this link.
constexpr double link_megabits = 1;
constexpr milliseconds deadline{2000};
constexpr std::size_t callers = 16;

} // namespace

TEST_GROUP(link) {
    sidecar_fleet fleet;

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }
};

// Guards against large responses that a slow link cannot deliver in time: their requests are
// refused before they reach the target, so callers may send them elsewhere.
TEST(link, requests_beyond_the_rate_of_the_link_are_refused_without_running) {
    fleet.configure(1);
    instance_options options;
    options.link_mbps = link_megabits;
    auto& instance = fleet.add("deposits", options);
    CHECK(wait_until([&] {
        auto const answer = fleet.call(instance, "/get/1", "ready");
        return answer && answer->status == 200;
    }));
    instance.target->set_large_bodies(1);
    auto const first = fleet.call(instance, "/pay/1", "first");
    CHECK(first && first->status == 200);

    std::vector<std::optional<http_response>> answers(callers);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            answers[index] =
                fleet.call(instance, "/pay/1", "attempt-" + std::to_string(index), deadline);
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < callers; ++index) {
        auto const& answer = answers[index];
        CHECK(answer.has_value());
        bool const has_run = instance.target->run_count("attempt-" + std::to_string(index)) > 0;
        if (answer->status == 200) {
            CHECK(has_run);
            ++answered;
        } else {
            LONGS_EQUAL(503, answer->status);
            CHECK_FALSE(has_run);
            CHECK(answer->headers.contains("Retry-After"));
            ++refused;
        }
    }
    CHECK(answered > 0);
    CHECK(refused > 0);
}
