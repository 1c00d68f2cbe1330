#include "placement/scenario.h"

#include "mesh/gate_queue.h"
#include "mesh/load_estimate.h"
#include "mesh/target_selector.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};

gate_load report(unsigned in_use, milliseconds time, double pace) {
    return {in_use, 0, 6, milliseconds(0), time, 0, pace};
}

/// Results of the selector without and with the pace of the targets, under the same load.
struct comparison {
    placement::run_result before;
    placement::run_result now;
};

constexpr std::uint64_t seeds = 2;

placement::run_result run_averaged(placement::scenario settings, placement::strategy kind) {
    settings.placement = kind;
    placement::run_result mean;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        auto const one = run(settings);
        for (auto const field :
             {&placement::run_result::needless_refusals, &placement::run_result::p99_ms,
              &placement::run_result::late_part, &placement::run_result::offers}) {
            mean.*field += one.*field / seeds;
        }
    }
    return mean;
}

comparison compare(placement::scenario const& settings) {
    return {run_averaged(settings, placement::strategy::least_time),
            run_averaged(settings, placement::strategy::even_load)};
}

constexpr milliseconds short_run{5000};

} // namespace

TEST_GROUP(even_load) {
    gate_queue queue;
    std::uint64_t last_id = 0;

    void setup() override {
        this->queue.set_slots(6);
    }

    // Runs one request that takes the given time, and returns the time at which it ended.
    boot_time run_request(boot_time at, milliseconds time) {
        auto const id = ++this->last_id;
        auto const decision = this->queue.offer(
            {id, "lookup", 0, at + seconds(1), at + seconds(2), at + seconds(1)}, at);
        CHECK(std::holds_alternative<gate_start>(decision));
        this->queue.finish(id, gate_queue::outcome::succeeded, at + time);
        return at + time;
    }
};

// Guards against requests that are refused at full targets while others have free slots, because 89
// nodes choose by old reports among targets of uneven speed that are slowed down for 0.6 s.
TEST(even_load, refusals_are_rare_while_slots_are_free) {
    auto const [before, now] = compare({});
    CHECK(now.needless_refusals < before.needless_refusals / 3);
    CHECK(now.p99_ms < before.p99_ms * 0.75);
    CHECK(now.offers <= before.offers);
}

// The same for few targets in zones of uneven capacity.
TEST(even_load, zones_of_uneven_capacity_share_the_load) {
    auto const [before, now] =
        compare({.nodes = 61, .targets = 23, .zones = 4, .slots = 12, .length = short_run});
    CHECK(now.needless_refusals < before.needless_refusals / 2);
    CHECK(now.p99_ms < before.p99_ms * 0.85);
}

// Guards against herding alone: all targets have the same speed and no slowdowns.
TEST(even_load, nodes_with_old_reports_do_not_choose_the_same_target) {
    auto const [before, now] =
        compare({.load = 1, .speeds = {1}, .slow_part = 0, .length = short_run});
    CHECK(now.needless_refusals < before.needless_refusals / 2);
    CHECK(now.p99_ms < before.p99_ms);
}

// Guards against late answers by slowdowns of 0.6 s alone, which are over before several slow
// responses have arrived. A gate that knows of them refuses more often, instead of answering late.
TEST(even_load, short_slowdowns_are_avoided) {
    auto const [before, now] = compare({.speeds = {1}, .length = short_run});
    CHECK(now.late_part < before.late_part / 2);
    CHECK(now.p99_ms < before.p99_ms * 0.95);
}

// Guards against a forecast that learns of a slowdown by slow responses only, and takes the target
// for slow after it.
TEST(even_load, service_time_follows_the_pace) {
    auto now = begin;
    this->queue.set_pace(1, now);
    for (int count = 0; count < 10; ++count) {
        now = run_request(now, milliseconds(100));
        this->queue.set_pace(1, now);
    }
    CHECK(this->queue.load("lookup", now).service_time == milliseconds(100));
    this->queue.set_pace(0.4, now);
    CHECK(this->queue.load("lookup", now).service_time == milliseconds(250));
    DOUBLES_EQUAL(0.4, this->queue.load("lookup", now).pace.value(), 1e-9);
    for (int count = 0; count < 2; ++count) {
        now = run_request(now, milliseconds(250));
        this->queue.set_pace(0.4, now);
    }
    this->queue.set_pace(1, now);
    LONGS_EQUAL(100, this->queue.load("lookup", now).service_time.count());
}

// Guards against a gate that states a pace when its target states none, or after the target was
// replaced.
TEST(even_load, gate_states_no_pace_of_its_own) {
    CHECK_FALSE(this->queue.load("lookup", begin).pace.has_value());
    this->queue.set_pace(0.4, begin);
    CHECK(this->queue.load("lookup", begin).pace.has_value());
    this->queue.reset_pace(begin);
    CHECK_FALSE(this->queue.load("lookup", begin).pace.has_value());
    auto const now = run_request(begin, milliseconds(100));
    CHECK(this->queue.load("lookup", now).service_time == milliseconds(100));
}

// Guards against a target without requests that is taken for slow for ever, since only responses
// state its pace.
TEST(even_load, pace_without_confirmation_expires) {
    for (int count = 0; count < 100; ++count) {
        this->queue.set_pace(1, begin);
    }
    this->queue.set_pace(0.4, begin);
    DOUBLES_EQUAL(0.4, this->queue.load("lookup", begin + milliseconds(400)).pace.value(), 1e-9);
    CHECK(this->queue.load("lookup", begin + milliseconds(600)).pace.value() > 0.95);
    // The same at a node that gets no reports.
    load_estimate estimate;
    for (int count = 0; count < 100; ++count) {
        estimate.observe(report(1, milliseconds(100), 1), 0, begin);
    }
    estimate.observe(report(1, milliseconds(250), 0.4), 0, begin);
    DOUBLES_EQUAL(0.4, estimate.pace(begin), 1e-9);
    CHECK(estimate.pace(begin + seconds(1)) > 0.95);
}

// Guards against a report that counts as present: one of a full target keeps requests away from it,
// and one of an idle target attracts those of all nodes.
TEST(even_load, old_reports_count_for_less) {
    load_estimate full;
    full.observe(report(6, milliseconds(100), 1), 0, begin);
    load_estimate idle;
    idle.observe(report(0, milliseconds(100), 1), 0, begin);
    double const usual = 0.7;
    auto const difference = [&](milliseconds age) {
        return full.cost(0, usual, begin + age) - idle.cost(0, usual, begin + age);
    };
    CHECK(difference(milliseconds(0)) > milliseconds(100));
    CHECK(difference(milliseconds(100)) < difference(milliseconds(0)));
    CHECK(difference(milliseconds(800)) < milliseconds(2));
}

// Guards against a false pace that makes a target free of cost or removes it for ever.
TEST(even_load, false_pace_is_limited) {
    for (double const pace : {0.0, -1.0, 1e9}) {
        load_estimate estimate;
        estimate.observe(report(3, milliseconds(100), pace), 0, begin);
        auto const cost = estimate.cost(1, 0.7, begin + milliseconds(50));
        CHECK(cost >= nanoseconds(0));
        CHECK(cost < seconds(60));
        this->queue.set_pace(pace, begin);
        auto const stated = this->queue.load("lookup", begin).pace.value();
        CHECK(stated >= 0.1 && stated <= 4);
    }
}
