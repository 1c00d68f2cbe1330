#include "mesh/fair_order.h"

#include "mesh/gate_queue.h"
#include "mesh/gate_request.h"
#include "overload_simulation.h"
#include "workspace_load.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

using namespace peridot;

namespace {

constexpr seconds usual_duration{30};
constexpr seconds trouble_duration{8};
constexpr milliseconds retry_pause{100};

// Requirements on a target without enough capacity.
constexpr double min_relative_fraction = 0.25;
constexpr double max_urgency_gap = 0.05;
// What the workspaces at their usual rate keep while another one sends five times its usual rate.
constexpr double min_kept = 0.7;

std::string const surging = workspace_load::workspace_name(1);

boot_time const begin{std::chrono::hours(1)};

} // namespace

// A target that gets slightly more than the 120 requests per second that it can run, and then
// trouble.
TEST_GROUP(fair_order) {
    workspace_load load;

    void add_usual_load() {
        this->load.add_route("read", 1, milliseconds(34));
        this->load.add_route("write", 0, milliseconds(62));
        this->load.add_route("report", 5, milliseconds(62));
    }

    static void send_five_times(arrival_stream & stream) {
        stream.gap /= 5;
    }

    void run_trouble(overload_simulation & simulation) {
        this->load.reset_counts();
        simulation.run(trouble_duration);
    }

    double others_served() const {
        return this->load.served([](arrival_stream const& stream) {
            return !stream.workspace.empty() && stream.workspace != surging;
        });
    }

    void check_requirements() const {
        CHECK_TEXT(this->load.lowest_relative_fraction() >= min_relative_fraction,
                   "a workspace or route was starved");
        CHECK_TEXT(this->load.urgency_gap() <= max_urgency_gap,
                   "a less urgent route was served more often");
    }
};

// Guards against a workspace at five times its usual rate that displaces the others.
TEST(fair_order, surging_workspace_does_not_displace_others) {
    add_usual_load();
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_workspace(surging, send_five_times);
    run_trouble(simulation);
    CHECK(others_served() >= min_kept);
    check_requirements();
}

// Guards against callers that get more slots by retrying at once: each attempt counted as a new
// request makes their workspace look poorly served.
TEST(fair_order, immediate_retries_do_not_displace_others) {
    add_usual_load();
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_workspace(surging, [](arrival_stream& stream) {
        send_five_times(stream);
        stream.retry_pause = retry_pause;
    });
    run_trouble(simulation);
    CHECK(others_served() >= min_kept);
    check_requirements();
}

// Guards against callers that leave before they get a slot and make their workspace look poorly
// served, and against starts shortly before the caller leaves: the target works in vain.
TEST(fair_order, leaving_callers_do_not_displace_others) {
    add_usual_load();
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_workspace(surging, [](arrival_stream& stream) {
        send_five_times(stream);
        stream.leaves_after = milliseconds(250);
    });
    run_trouble(simulation);
    for (int index = 0; index < workspace_load::workspaces; ++index) {
        auto const workspace = workspace_load::workspace_name(index);
        CHECK(workspace == surging || load.workspace_served(workspace) >= 0.85);
    }
    check_requirements();
}

// Guards against a burst of a less urgent route that displaces a more urgent one: its callers
// expect answers sooner, so its requests always have the earlier deadlines.
TEST(fair_order, burst_of_a_route_does_not_displace_more_urgent_ones) {
    add_usual_load();
    load.add_route("burst", 3, milliseconds(500));
    load.for_each([](arrival_stream& stream) {
        bool const is_burst = stream.route == "burst";
        stream.target_latency = milliseconds(is_burst ? 300 : 1400);
    });
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_each([](arrival_stream& stream) {
        if (stream.route == "burst") {
            stream.gap /= 25;
        }
    });
    run_trouble(simulation);
    check_requirements();
}

// Guards against calls of accepted requests that are refused, so that what was done for these
// requests is lost, and against so many of these calls that nothing else is served.
TEST(fair_order, calls_of_accepted_requests_go_first) {
    add_usual_load();
    auto& calls = load.add_internal_calls(milliseconds(30));
    calls.priority = 0;
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_each([](arrival_stream& stream) {
        if (!stream.workspace.empty()) {
            stream.gap /= 2;
        }
    });
    run_trouble(simulation);
    CHECK(load.route_served("internal") >= 0.95);
    check_requirements();
    calls.gap = milliseconds(3);
    run_trouble(simulation);
    CHECK(load.lowest_relative_fraction() >= min_relative_fraction);
}

// Guards against the priority of a route that goes before that of the workspace, and against
// workspaces without a priority that are not served at all.
TEST(fair_order, priority_of_the_workspace_goes_first) {
    add_usual_load();
    load.for_workspace(workspace_load::workspace_name(2),
                       [](arrival_stream& stream) { stream.workspace_priority = 0; });
    load.for_workspace(workspace_load::workspace_name(3),
                       [](arrival_stream& stream) { stream.workspace_priority = 7; });
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_each([](arrival_stream& stream) { stream.gap /= 3; });
    run_trouble(simulation);
    CHECK(load.workspace_served(workspace_load::workspace_name(2)) >= 0.95);
    CHECK(load.workspace_served(workspace_load::workspace_name(3)) >= 0.9);
    CHECK(load.lowest_relative_fraction() >= min_relative_fraction);
}

// Guards against troubles that are bearable alone and starve somebody together.
TEST(fair_order, all_troubles_together) {
    add_usual_load();
    load.add_route("burst", 3, milliseconds(500));
    load.add_internal_calls(milliseconds(100)).priority = 0;
    load.for_each([](arrival_stream& stream) {
        bool const is_burst = stream.route == "burst";
        stream.target_latency = milliseconds(is_burst ? 300 : 900);
    });
    overload_simulation simulation(load.sources());
    simulation.run(usual_duration);
    load.for_workspace(surging, send_five_times);
    load.for_workspace(workspace_load::workspace_name(0),
                       [](arrival_stream& stream) { stream.retry_pause = retry_pause; });
    load.for_workspace(surging, [](arrival_stream& stream) { stream.retry_pause = retry_pause; });
    load.for_workspace(workspace_load::workspace_name(2),
                       [](arrival_stream& stream) { stream.leaves_after = milliseconds(400); });
    load.for_each([](arrival_stream& stream) {
        if (stream.route == "burst") {
            stream.gap /= 12;
        }
    });
    run_trouble(simulation);
    check_requirements();
    CHECK(load.route_served("internal") >= 0.95);
    CHECK(others_served() >= 0.5);
}

// Guards against a request that is refused because of others behind it, and against one that is
// queued although others go before it until its deadline.
TEST(fair_order, refusals_follow_the_order) {
    gate_queue queue;
    queue.set_slots(1);
    std::uint64_t last_id = 0;
    auto const offer = [&](std::string const& workspace, std::optional<unsigned> priority,
                           milliseconds soft_deadline, milliseconds limit) {
        auto const at = begin + soft_deadline;
        return queue.offer({++last_id, "read", 2, at, at, begin + limit, workspace, priority},
                           begin);
    };
    auto const offer_ordinary = [&](milliseconds limit) {
        return offer("many", std::nullopt, limit, limit);
    };
    offer_ordinary(seconds(1));
    queue.finish(last_id, gate_queue::outcome::succeeded, begin + milliseconds(100));
    offer_ordinary(seconds(1));
    for (int count = 0; count < 3; ++count) {
        CHECK(std::holds_alternative<gate_wait>(offer_ordinary(milliseconds(550))));
    }
    // The target is free after 100 ms. The urgent requests have the latest deadlines.
    auto const offer_urgent = [&] {
        return offer("urgent", 0, milliseconds(900), milliseconds(250));
    };
    CHECK(std::holds_alternative<gate_wait>(offer_urgent()));
    CHECK(std::holds_alternative<gate_refusal>(offer_urgent()));
    // Three others and the urgent one go before it.
    CHECK(std::holds_alternative<gate_refusal>(offer_ordinary(milliseconds(560))));
    // The urgent one has displaced none of the others.
    CHECK(queue.dispatch(begin).refused.empty());
}

// Guards against a Retry-After that sends callers back too early, and against callers that follow
// it and find newcomers before them.
TEST(fair_order, caller_that_returns_after_the_stated_time_gets_a_slot) {
    gate_queue queue;
    queue.set_slots(1);
    std::uint64_t last_id = 0;
    constexpr milliseconds work{100};
    auto const offer = [&](milliseconds soft_deadline, boot_time deadline, milliseconds limit,
                           boot_time now) {
        return queue.offer(
            {++last_id, "read", 2, now + soft_deadline, deadline, now + limit, "workspace", {}},
            now);
    };
    offer(seconds(2), begin + seconds(9), seconds(9), begin);
    queue.finish(last_id, gate_queue::outcome::succeeded, begin + work);
    auto now = begin + work;
    offer(seconds(2), now + seconds(9), seconds(9), now);
    auto running = last_id;
    for (int count = 0; count < 3; ++count) {
        offer(seconds(2), now + seconds(9), seconds(9), now);
    }
    auto const deadline = now + seconds(8);
    auto const decision = offer(seconds(3), deadline, milliseconds(150), now);
    CHECK(std::holds_alternative<gate_refusal>(decision));
    auto const retry_after = std::get<gate_refusal>(decision).retry_after;
    CHECK(retry_after == 4 * work);
    for (auto const end = now + retry_after; now < end;) {
        now += work;
        queue.finish(running, gate_queue::outcome::succeeded, now);
        if (now == end) {
            offer(seconds(3), deadline, seconds(8), now);
        }
        auto const dequeued = queue.dispatch(now);
        LONGS_EQUAL(1, dequeued.started.size());
        running = dequeued.started.front();
        offer(seconds(1), now + seconds(9), seconds(9), now);
    }
    // The newcomer of this moment came after the caller.
    UNSIGNED_LONGS_EQUAL(last_id - 1, running);
}

// Guards against callers that leave while they wait and thereby make their workspace count as
// poorly served, so that it goes first.
TEST(fair_order, callers_that_left_do_not_count) {
    fair_order order;
    constexpr milliseconds work{100};
    auto const make_request = [](std::string const& workspace) {
        auto const deadline = begin + seconds(5);
        return gate_request{1, workspace, 2, deadline, deadline, deadline, workspace, {}};
    };
    auto patient = make_request("patient");
    auto leaving = make_request("leaving");
    auto const record_started = [&](gate_request& request) {
        order.record_offer(request, work, begin);
        order.record_start(request, work, begin);
    };
    for (int count = 0; count < 100; ++count) {
        record_started(patient);
    }
    for (int count = 0; count < 4; ++count) {
        record_started(leaving);
    }
    for (int count = 0; count < 40; ++count) {
        order.record_offer(leaving, work, begin);
        order.withdraw_offer(leaving, work, begin);
    }
    order.record_offer(patient, work, begin);
    order.record_offer(leaving, work, begin);
    auto const rank = std::pair(false, begin);
    auto const ordered = order.order({{&leaving, rank, work}, {&patient, rank, work}}, begin);
    LONGS_EQUAL(2, ordered.size());
    CHECK_FALSE(ordered[0].is_owed);
    CHECK_FALSE(ordered[1].is_owed);
}
