#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr std::uint64_t mutation_seed = 4711;
constexpr int mutations = 200;

std::string mutate(std::string text, std::mt19937_64& random) {
    for (auto edits = 1 + random() % 3; edits > 0 && !text.empty(); --edits) {
        auto const at = random() % text.size();
        if (random() % 2 == 0) {
            text[at] = static_cast<char>(random());
        } else {
            text.erase(at, 1 + random() % 8);
        }
    }
    return text;
}

} // namespace

// Nodes that receive messages which no correct sender writes.
TEST_GROUP(odd_input) {
    sidecar_fleet fleet;
    int attempts = 0;

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    unsigned status_of(mesh_instance const& from, std::string const& path) {
        auto const answer =
            this->fleet.call(from, path, "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    bool wait_until_served(mesh_instance const& from, std::string const& path) {
        return wait_until([&] { return this->status_of(from, path) == 200; });
    }
};

// Guards against a process that ends, or a thread that stops working, after an unreadable response
// of the store.
TEST(odd_input, unreadable_responses_of_the_store_stop_no_node) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until_served(caller, "/get/1"));
    fleet.store().set_garbling(true);
    for (std::uint64_t version = 2; version <= 12; ++version) {
        fleet.configure(version, version);
        std::this_thread::sleep_for(milliseconds(200));
        UNSIGNED_LONGS_EQUAL(200, status_of(caller, "/get/1"));
    }
    fleet.store().set_garbling(false);
    fleet.configure(100, 50);
    CHECK(wait_until_served(caller, "/more49/1"));
    CHECK_FALSE(caller.node->has_ended());
    CHECK_FALSE(target.node->has_ended());
    // Targets are still recorded.
    fleet.replace_target(target, "i-new");
    CHECK(wait_until_served(caller, "/pay/1"));
}

// Guards against a process that ends after an unreadable message of a target or of another node.
TEST(odd_input, unreadable_messages_stop_no_node) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until_served(caller, "/get/1"));
    std::mt19937_64 random(mutation_seed);
    http_caller sender;
    std::string const heartbeat =
        R"({"Address":")" + target.ip + R"(:18301","Info":{"Service":"deposits","Version":"v1",)" +
        R"("Zone":"ariana","Slots":8},"Status":{"State":"ready","Seq":9,"ColdRemainingS":0},"born":1})";
    std::string const hop = "1;1;500;900;500;i-11;plants;get;attempt-x;127.0.0.1";
    for (int round = 0; round < mutations; ++round) {
        // The target's id differs, so that no mutation announces a target by accident.
        sender.exchange(fleet.heartbeats_address(target),
                        {"POST", "/instances/i-odd/heartbeat", {}, mutate(heartbeat, random)});
        sender.exchange(fleet.control_address(target),
                        {"POST", "/evidence", {}, mutate(heartbeat, random)});
        sender.exchange(fleet.control_address(target),
                        {"POST", "/commit", {}, mutate(heartbeat, random)});
        sender.exchange(fleet.control_address(target),
                        {"GET", "/rows?" + std::to_string(random()), {}, {}});
        http_request request{"GET", "/get/1", {}, {}};
        std::string odd_call = mutate(hop, random);
        std::erase_if(odd_call, [](char letter) { return letter < ' ' || letter > '~'; });
        request.headers.set("Peridot-Call", odd_call);
        sender.exchange(fleet.peers_address(target), std::move(request));
    }
    CHECK_FALSE(target.node->has_ended());
    fleet.replace_target(target, "i-new");
    CHECK(wait_until_served(caller, "/pay/1"));
    fleet.configure(2, 3);
    CHECK(wait_until_served(caller, "/more2/1"));
}

// Guards against work that is started again elsewhere, or given up, because the target's reports
// have stopped and its node stood still for a while.
TEST(odd_input, target_that_reports_nothing_keeps_its_work) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& first = fleet.add("deposits");
    auto& second = fleet.add("deposits");
    CHECK(wait_until([&] {
        return wait_until_served(caller, "/get/1") && first.target->run_count() > 0 &&
               second.target->run_count() > 0;
    }));
    first.target->set_work_time(seconds(2));
    second.target->set_work_time(seconds(2));
    std::vector<std::thread> callers;
    std::vector<std::optional<http_response>> answers(6);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        callers.emplace_back([&, index] {
            answers[index] = fleet.call(caller, "/pay/1", "work-" + std::to_string(index));
        });
    }
    auto const runs = [&](std::size_t index) {
        auto const attempt = "work-" + std::to_string(index);
        return first.target->run_count(attempt) + second.target->run_count(attempt);
    };
    bool const have_started = wait_until([&] {
        std::size_t started = 0;
        for (std::size_t index = 0; index < answers.size(); ++index) {
            started += runs(index);
        }
        return started == answers.size();
    });
    first.target->stop_heartbeats();
    first.node->send(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(800));
    first.node->send(SIGCONT);
    for (auto& thread : callers) {
        thread.join();
    }
    CHECK(have_started);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        CHECK(answers[index] && answers[index]->status == 200);
        UNSIGNED_LONGS_EQUAL(1, runs(index));
    }
    // The silent target still gets requests.
    first.target->set_work_time(milliseconds(1));
    second.target->set_work_time(milliseconds(1));
    auto const before = first.target->run_count();
    CHECK(wait_until([&] {
        status_of(caller, "/get/1");
        return first.target->run_count() > before;
    }));
}
