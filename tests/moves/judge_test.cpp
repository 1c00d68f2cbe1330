#include "moves/judge.h"

#include "core/random_source.h"
#include "example_plan.h"
#include "moves/e_value.h"
#include "moves/evidence_aggregator.h"
#include "moves/evidence_counter.h"
#include "moves/latency_buckets.h"
#include "moves/rate_comparison.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace peridot;

namespace {

struct version_rates {
    double failures = 0.001;
    milliseconds latency{20};
};

// Simulates the calls of one node at a fixed rate, and has the judge assess them once a second.
struct judged_service {
    move_plan plan = example_plan();
    move_state state{plan.id, 0, {}, {}};
    judge decider{plan, "judge-a", 1};
    evidence_counter counter;
    random_source random{5};
    wall_time now = plan.start;

    void count(target_side side, int calls, version_rates const& rates) {
        std::bernoulli_distribution fails(rates.failures);
        std::lognormal_distribution<double> spread(0, 0.5);
        for (int call = 0; call < calls; ++call) {
            auto const outcome =
                fails(this->random) ? call_outcome::failed : call_outcome::succeeded;
            auto const latency =
                std::chrono::duration_cast<microseconds>(std::chrono::duration<double, std::milli>(
                    static_cast<double>(rates.latency.count()) * spread(this->random)));
            this->counter.record("r", {side, call_attempt::first, outcome, latency, 20});
        }
    }

    verdict run_second(int old_calls, version_rates const& old_rates, int new_calls,
                       version_rates const& new_rates) {
        this->count(target_side::old_version, old_calls, old_rates);
        this->count(target_side::new_version, new_calls, new_rates);
        this->now += seconds(1);
        auto decided = this->decider.assess(this->now, this->state, this->counter.counts());
        if (auto const* raise = std::get_if<step_raise>(&decided)) {
            this->state.gate = raise->step;
        }
        return decided;
    }

    // Whether the move is taken back within the given number of seconds.
    bool is_taken_back(int duration, int old_calls, version_rates const& old_rates, int new_calls,
                       version_rates const& new_rates) {
        for (int second = 0; second < duration; ++second) {
            if (std::holds_alternative<take_back>(
                    this->run_second(old_calls, old_rates, new_calls, new_rates))) {
                return true;
            }
        }
        return false;
    }
};

constexpr version_rates good = {};
constexpr version_rates failing = {0.1, milliseconds(20)};
constexpr version_rates slow = {0.001, milliseconds(40)};

} // namespace

TEST_GROUP(judge){};

// Guards against an e-value whose mean exceeds 1 for an acceptable version, which would invalidate
// the false-alarm rate. The mean is an exact sum over all outcomes of small blocks, for many rates.
TEST(judge, mean_e_value_is_at_most_1_for_acceptable_versions) {
    rate_tolerance const tolerance{1.5, 0.005};
    auto const probability = [](unsigned calls, unsigned events, double rate) {
        double const choices = std::exp(std::lgamma(calls + 1.0) - std::lgamma(events + 1.0) -
                                        std::lgamma(calls - events + 1.0));
        return choices * std::pow(rate, events) * std::pow(1 - rate, calls - events);
    };
    for (double rate : {0.0, 0.001, 0.01, 0.05, 0.2, 0.5, 0.9}) {
        for (double expected_old : {0.001, 0.05, 0.3}) {
            double mean = 0;
            for (unsigned old_events = 0; old_events <= 12; ++old_events) {
                for (unsigned new_events = 0; new_events <= 5; ++new_events) {
                    mean += probability(12, old_events, rate) *
                            probability(5, new_events, tolerance.maximum_rate(rate)) *
                            std::exp(log_paired_e_value({12, old_events}, {5, new_events},
                                                        expected_old, 0.6, tolerance));
                }
            }
            CHECK_TRUE(mean <= 1 + 1e-6);
        }
    }
}

// Guards against evidence that depends on the grouping of reports. If a failure that is reported
// alone, right after another new call, had less weight than in one block with that call, a judge
// that receives the calls one by one would decide much later than one that receives them together.
TEST(judge, e_value_is_nearly_independent_of_report_grouping) {
    rate_comparison_settings const settings = {
        {1.5, 0.005}, {2, 0.01}, {0.02, 0.05, 0.15, 0.45, 0.9}};
    rate_comparison one_by_one(settings);
    rate_comparison at_once(settings);
    rate_comparison with_old_calls(settings);
    one_by_one.observe({0, 0}, {0, 0}, 0.5);
    at_once.observe({0, 0}, {0, 0}, 0.5);
    with_old_calls.observe({0, 0}, {0, 0}, 0.5);
    for (int round = 0; round < 10; ++round) {
        for (int call = 0; call < 100; ++call) {
            one_by_one.observe({1, 0}, {0, 0}, 0);
            at_once.observe({1, 0}, {0, 0}, 0);
        }
        one_by_one.observe({0, 0}, {1, 0}, 0);
        one_by_one.observe({0, 0}, {1, 1}, 0);
        at_once.observe({0, 0}, {2, 1}, 0);
        for (int report = 0; report < 6; ++report) {
            with_old_calls.observe({15, 0}, {0, 0}, 0);
        }
        with_old_calls.observe({15, 0}, {2, 1}, 0);
        CHECK_TRUE(one_by_one.e_value() > 0.9 * at_once.e_value());
        CHECK_TRUE(one_by_one.e_value() > 0.9 * with_old_calls.e_value());
    }
    CHECK_TRUE(one_by_one.e_value() > 1e6);
}

// Guards against a bad version that is not taken back.
TEST(judge, failing_or_slow_versions_are_taken_back) {
    CHECK_TRUE(judged_service().is_taken_back(60, 990, good, 10, failing));
    CHECK_TRUE(judged_service().is_taken_back(60, 990, good, 10, slow));
}

// Guards against a take-back for a fault of a dependency that both versions share.
TEST(judge, faults_of_both_versions_cause_no_take_back) {
    CHECK_FALSE(judged_service().is_taken_back(300, 500, failing, 500, failing));
    CHECK_FALSE(judged_service().is_taken_back(300, 500, slow, 500, slow));
}

// Guards against comparing old calls from before a burst of failures with new calls during the
// burst.
TEST(judge, old_calls_before_a_burst_are_not_compared_with_new_calls_in_it) {
    rate_comparison comparison({{1, 0}, {1.2, 0.05}, {0.05, 0.1, 0.2, 0.4, 0.8}});
    for (int block = 0; block < 20; ++block) {
        comparison.observe({100, 1}, {100, 1}, 0);
    }
    comparison.observe({100, 50}, {100, 50}, 0.5);
    CHECK_TRUE(comparison.e_value() < 2);
}

// Guards against a take-back for slow first calls after a cold start.
TEST(judge, cold_starts_cause_no_take_back) {
    judged_service service;
    CHECK_FALSE(service.is_taken_back(20, 990, good, 10, slow));
    CHECK_FALSE(service.is_taken_back(300, 990, good, 10, good));
}

// Guards against a warm-up period that hides failures which a cold start cannot explain.
TEST(judge, gross_failures_are_detected_during_the_warm_up) {
    CHECK_TRUE(judged_service().is_taken_back(5, 990, good, 10, {1.0, milliseconds(20)}));
}

// Guards against a test in which a late fault must first outweigh all earlier successful calls.
TEST(judge, late_faults_at_100_percent_are_detected_without_old_calls) {
    judged_service service;
    CHECK_FALSE(service.is_taken_back(300, 500, good, 500, good));
    CHECK_FALSE(service.is_taken_back(200, 0, good, 1000, good));
    CHECK_TRUE(service.is_taken_back(10, 0, good, 1000, failing));
    CHECK_TRUE(service.decider.summary().is_against_baseline);
    auto const decided =
        service.decider.assess(service.now, service.state, service.counter.counts());
    auto const& record = std::get<take_back>(decided);
    CHECK_TRUE(record.reason == take_back_reason::failures_against_baseline);
    CHECK_TRUE(record.old_calls > 0 && record.new_events > 0);
}

// Guards against counting the evidence of a duplicate report twice.
TEST(judge, repeated_totals_are_counted_once) {
    judged_service once;
    judged_service twice;
    for (int second = 0; second < 40; ++second) {
        once.run_second(990, good, 10, {0.03, milliseconds(20)});
        twice.run_second(990, good, 10, {0.03, milliseconds(20)});
        for (int repeat = 0; repeat < 5; ++repeat) {
            twice.decider.assess(twice.now, twice.state, twice.counter.counts());
        }
        DOUBLES_EQUAL(once.decider.summary().e_value, twice.decider.summary().e_value, 1e-12);
    }
}

// Guards against a decision that changes because reports arrive repeatedly or out of order.
TEST(judge, repeated_and_reordered_reports_do_not_undo_a_take_back) {
    judged_service service;
    evidence_aggregator aggregator("move");
    std::vector<evidence_report> reports;
    bool taken_back = false;
    for (std::uint64_t second = 1; second <= 60; ++second) {
        service.count(target_side::old_version, 990, good);
        service.count(target_side::new_version, 10, failing);
        reports.push_back({"move", "node-a", 1, second, service.counter.counts()});
        aggregator.accept(reports.back());
        aggregator.accept(reports[service.random() % reports.size()]);
        service.now += seconds(1);
        auto const decided =
            service.decider.assess(service.now, service.state, aggregator.totals());
        CHECK_FALSE(taken_back && !std::holds_alternative<take_back>(decided));
        taken_back = std::holds_alternative<take_back>(decided);
    }
    CHECK_TRUE(taken_back);
    auto const decided = service.decider.assess(service.now, service.state, {});
    CHECK_TRUE(std::holds_alternative<take_back>(decided));
    auto const& record = std::get<take_back>(decided);
    CHECK_TRUE(record.reason == take_back_reason::failures);
    CHECK_TRUE(record.new_events > 0 && record.new_events <= record.new_calls);
    STRCMP_EQUAL("judge-a", record.setter.c_str());
}

// Guards against steps without evidence, and against a move without traffic that never proceeds.
TEST(judge, steps_require_evidence_or_their_latest_time) {
    judged_service busy;
    judged_service idle;
    int busy_step_at = 0;
    int idle_step_at = 0;
    for (int second = 1; second <= 600; ++second) {
        busy.run_second(990, good, 10, good);
        idle.run_second(0, good, 0, good);
        busy_step_at = busy_step_at == 0 && busy.state.gate > 0 ? second : busy_step_at;
        idle_step_at = idle_step_at == 0 && idle.state.gate > 0 ? second : idle_step_at;
    }
    CHECK_EQUAL(90, busy_step_at);
    CHECK_TRUE(idle_step_at > busy_step_at);
    CHECK_EQUAL(4U, busy.state.gate);
    CHECK_EQUAL(4U, idle.state.gate);
}

// Guards against a bad version that keeps its share because its move is late (kcg-mesh, EXPOSURE:
// the store could not be written until the deadline had passed).
TEST(judge, late_moves_are_still_judged) {
    judged_service service;
    CHECK_FALSE(service.is_taken_back(40, 990, good, 10, good));
    service.state.pause = {1, true, 0};
    service.now = service.plan.done_by + service.plan.watch + seconds(10);
    CHECK_FALSE(service.is_taken_back(10, 750, good, 250, good));
    CHECK_TRUE(service.is_taken_back(60, 750, good, 250, failing));
}

// Guards against a late move that takes all remaining steps at once, without evidence on any.
TEST(judge, steps_of_a_late_move_take_their_minimum_time) {
    judged_service service;
    service.now = service.plan.done_by + service.plan.watch;
    std::vector<int> steps_at;
    for (int second = 1; second <= 60; ++second) {
        auto const decided = service.run_second(0, good, 0, good);
        if (std::holds_alternative<step_raise>(decided)) {
            steps_at.push_back(second);
        }
    }
    UNSIGNED_LONGS_EQUAL(service.plan.ramp.size() - 1, steps_at.size());
    auto const minimum = static_cast<int>(judge_settings{}.minimum_step_time.count());
    for (std::size_t step = 1; step < steps_at.size(); ++step) {
        CHECK_TRUE(steps_at[step] - steps_at[step - 1] >= minimum);
    }
}

// Guards against a judge that raises the step while an operator has paused the move.
TEST(judge, no_step_is_taken_during_a_pause) {
    judged_service service;
    service.state.pause = {1, true, 0};
    for (int second = 0; second < 600; ++second) {
        service.run_second(990, good, 10, good);
    }
    CHECK_EQUAL(0U, service.state.gate);
}

// Guards against a slow version among routes with different latencies: its slow answers on a quick
// route with a fifth of the calls did not show beside the usual answers of a slow one.
TEST(judge, slow_answers_of_a_quick_route_are_found_beside_a_slow_route) {
    judged_service service;
    auto const count = [&service](std::string const& route, target_side side, int calls,
                                  milliseconds latency) {
        for (int call = 0; call < calls; ++call) {
            service.counter.record(
                route, {side, call_attempt::first, call_outcome::succeeded, latency, 20});
        }
    };
    bool is_back = false;
    for (int second = 0; second < 60 && !is_back; ++second) {
        count("a-slow", target_side::old_version, 200, milliseconds(600));
        count("b-quick", target_side::old_version, 50, milliseconds(40));
        count("a-slow", target_side::new_version, 8, milliseconds(600));
        count("b-quick", target_side::new_version, 2, milliseconds(160));
        service.now += seconds(1);
        is_back = std::holds_alternative<take_back>(
            service.decider.assess(service.now, service.state, service.counter.counts()));
    }
    CHECK(is_back);
}

// Guards against a version that leaves no answer behind, so that its warm-up never ends and its
// calls in progress are never judged.
TEST(judge, version_that_never_answers_is_taken_back) {
    judged_service service;
    bool is_back = false;
    for (int second = 0; second < 90 && !is_back; ++second) {
        service.counter.record_progress("r", target_side::new_version, 0,
                                        latency_buckets::index(seconds(1)));
        is_back = std::holds_alternative<take_back>(service.run_second(99, good, 0, good));
    }
    CHECK(is_back);
}

// Guards against a step that ends before a slow answer could arrive (review/4, EXPOSURE).
TEST(judge, step_lasts_until_its_slow_answers_are_known) {
    judge_settings settings;
    settings.minimum_calls_per_step = 10;
    settings.minimum_step_time = seconds(1);
    auto plan = example_plan();
    plan.ramp[2].earliest = plan.ramp[1].earliest;
    judge decider(plan, "judge-a", 1, settings);
    evidence_counter counter;
    move_state state{plan.id, 0, {}, {}};
    std::vector<wall_time> raises;
    for (auto now = plan.ramp[1].earliest - seconds(60); raises.size() < 2 && now < plan.done_by;
         now += milliseconds(100)) {
        for (int call = 0; call < 20; ++call) {
            auto const side = call == 0 ? target_side::new_version : target_side::old_version;
            counter.record(
                "r", {side, call_attempt::first, call_outcome::succeeded, milliseconds(4000), 20});
        }
        auto const decided = decider.assess(now, state, counter.counts());
        if (auto const* raise = std::get_if<step_raise>(&decided)) {
            state.gate = raise->step;
            raises.push_back(now);
        }
    }
    CHECK_EQUAL(2U, raises.size());
    CHECK(raises[1] - raises[0] >= seconds(4));
}
