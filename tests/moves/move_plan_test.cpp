#include "moves/move_plan.h"

#include "example_plan.h"
#include "moves/move_plan_json.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <limits>
#include <string>

using namespace peridot;

namespace {

result_code code_of(status const& outcome) {
    return is_ok(outcome) ? result_code::ok : failure(outcome).code;
}

void check_refused(result_code expected, std::function<void(move_plan&)> const& change) {
    auto plan = example_plan();
    change(plan);
    CHECK_TRUE(expected == code_of(validate(plan)));
    auto const decoded = decode_move_plan(encode(plan));
    CHECK_FALSE(is_ok(decoded));
}

} // namespace

TEST_GROUP(move_plan){};

// Guards against a plan that changes when it is stored in the platform's row and read again.
TEST(move_plan, json_round_trip_preserves_the_plan) {
    auto const plan = example_plan();
    auto const decoded = decode_move_plan(encode(plan));
    CHECK_TRUE(is_ok(decoded));
    CHECK_TRUE(plan == value(decoded));
}

// Guards against accepting times with which no move can be carried out.
TEST(move_plan, impossible_times_are_refused) {
    auto const code = result_code::move_time_impossible;
    check_refused(code, [](move_plan& plan) { plan.done_by = plan.start; });
    check_refused(code, [](move_plan& plan) { plan.done_by = plan.start - seconds(60); });
    check_refused(code, [](move_plan& plan) { plan.ramp[2].earliest = plan.start; });
    check_refused(code, [](move_plan& plan) { plan.ramp.back().earliest = plan.done_by; });
    check_refused(code, [](move_plan& plan) { plan.ramp[0].earliest -= seconds(1); });
    check_refused(code, [](move_plan& plan) { plan.watch = seconds(-1); });
    auto const plan = example_plan();
    CHECK_TRUE(code == code_of(validate_new(plan, plan.done_by)));
    CHECK_TRUE(is_ok(validate_new(plan, plan.start)));
}

// Guards against accepting plans with invalid names, and ramps whose shares do not increase to 1.
TEST(move_plan, malformed_plans_are_refused) {
    auto const code = result_code::move_malformed;
    check_refused(code, [](move_plan& plan) { plan.id.clear(); });
    check_refused(code, [](move_plan& plan) { plan.id = std::string(33, 'a'); });
    check_refused(code, [](move_plan& plan) { plan.to = plan.from; });
    check_refused(code, [](move_plan& plan) { plan.ramp.clear(); });
    check_refused(code, [](move_plan& plan) { plan.ramp.back().share = 0.9; });
    check_refused(code, [](move_plan& plan) { plan.ramp[1].share = 0.01; });
    auto plan = example_plan();
    plan.ramp[0].share = std::numeric_limits<double>::quiet_NaN();
    CHECK_TRUE(code == code_of(validate(plan)));
}

// Guards against a crash or silent defaults when the text is not a plan.
TEST(move_plan, text_that_is_not_a_plan_is_refused) {
    for (auto const* text : {"", "{", "[]", "{}", "7", R"({"id": 3})"}) {
        auto const decoded = decode_move_plan(text);
        CHECK_FALSE(is_ok(decoded));
        CHECK_TRUE(result_code::move_malformed == failure(decoded).code);
    }
    auto text = encode(example_plan());
    text.insert(1, R"("unknown":1,)");
    CHECK_FALSE(is_ok(decode_move_plan(text)));
}

// Guards against a default ramp that fails validation, for short and long moves.
TEST(move_plan, the_default_ramp_is_valid_for_every_duration) {
    for (auto const duration : {seconds(10), seconds(61), seconds(7200), seconds(86'400 * 30)}) {
        auto plan = example_plan();
        plan.done_by = plan.start + duration;
        plan.ramp = default_ramp(plan.start, plan.done_by);
        CHECK_TRUE(is_ok(validate(plan)));
    }
}
