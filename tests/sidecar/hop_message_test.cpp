#include "sidecar/hop_message.h"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <string>

using namespace peridot;

namespace {

boot_time const now{std::chrono::hours(1)};

gate_call make_call() {
    gate_call call;
    call.attempt_id = "attempt;1";
    call.route = "get";
    call.kind = request_kind::idempotent;
    call.priority = 2;
    call.target_id = "i-1";
    call.calling_service = "plants";
    call.sender = "10.0.0.1";
    call.soft_deadline = now + milliseconds(100);
    call.deadline = now + milliseconds(200);
    call.finish_by = now + milliseconds(150);
    return call;
}

std::optional<gate_call> exchanged(gate_call const& call) {
    http_request request;
    write_hop_call(request, call, now);
    return extract_hop_call(request, now);
}

} // namespace

TEST_GROUP(hop_message){};

// Guards against a call that the receiving node understands differently from its sender.
TEST(hop_message, call_round_trips) {
    auto const call = exchanged(make_call());
    CHECK(call.has_value());
    STRCMP_EQUAL("attempt;1", call->attempt_id.c_str());
    STRCMP_EQUAL("i-1", call->target_id.c_str());
    STRCMP_EQUAL("plants", call->calling_service.c_str());
    STRCMP_EQUAL("10.0.0.1", call->sender.c_str());
    CHECK(call->deadline == now + milliseconds(200));
    CHECK(call->kind == request_kind::idempotent);
    CHECK_FALSE(call->rate_limit.has_value());
}

// Guards against a rate limit that the restarted node of a target does not learn from the senders.
TEST(hop_message, rate_limit_round_trips) {
    for (double const limit : {0.0, 0.5, 12.8}) {
        auto call = make_call();
        call.rate_limit = limit;
        DOUBLES_EQUAL(limit, exchanged(call)->rate_limit.value(), 1e-3);
    }
    auto call = make_call();
    call.rate_limit = 1e300;
    CHECK(exchanged(call)->rate_limit.value() >= 1000);
}

// Guards against a node that refuses calls of nodes that run another version of the program.
TEST(hop_message, calls_with_unknown_fields_are_refused_and_without_a_limit_accepted) {
    http_request request;
    write_hop_call(request, make_call(), now);
    auto const text = std::string(request.headers.value("Peridot-Call"));
    request.headers.set("Peridot-Call", text + ";1;2");
    CHECK_FALSE(extract_hop_call(request, now).has_value());
    request.headers.set("Peridot-Call", text);
    CHECK(extract_hop_call(request, now).has_value());
}

// Guards against a served request that is answered as failed because the version in force exceeds
// the range of another field (kcg-mesh, RECOVER).
TEST(hop_message, answers_round_trip_at_the_limits_of_each_field) {
    auto const max_unsigned = std::numeric_limits<unsigned>::max();
    milliseconds const longest{std::chrono::hours(24)};
    for (std::uint64_t const version :
         {std::uint64_t{0}, std::uint64_t{86'400'000'001}, std::uint64_t{1'796'490'000'000},
          std::numeric_limits<std::uint64_t>::max()}) {
        hop_state state;
        state.load = {max_unsigned, max_unsigned, max_unsigned, longest, longest, 1.0};
        state.configuration = version;
        auto const read = extract_hop_answer(write_hop_answer(gate_ran{{200, {}, "body"}}, state));
        auto const* ran = std::get_if<gate_ran>(&read.answer);
        CHECK(ran != nullptr);
        STRCMP_EQUAL("body", ran->answer.body.c_str());
        CHECK(read.state.has_value());
        CHECK(read.state->configuration == version);
        UNSIGNED_LONGS_EQUAL(max_unsigned, read.state->load.in_use);
        UNSIGNED_LONGS_EQUAL(max_unsigned, read.state->load.waiting);
        UNSIGNED_LONGS_EQUAL(max_unsigned, read.state->load.slots);
        CHECK(read.state->load.expected_wait == longest);
        CHECK(read.state->load.service_time == longest);
        DOUBLES_EQUAL(1.0, read.state->load.failure_rate, 1e-9);
    }
}

// Guards against a pace that is lost between nodes, and against a changed form of the state where
// targets state none: nodes of earlier versions read exactly ten fields.
TEST(hop_message, pace_of_the_target_arrives) {
    hop_state state;
    state.load.slots = 6;
    state.configuration = 7;
    auto answer = write_hop_answer(gate_ran{{200, {}, "body"}}, state);
    STRCMP_EQUAL("0;0;0;0;0;6;0;0;0;7", std::string(answer.headers.value("Peridot-State")).c_str());
    CHECK_FALSE(extract_hop_answer(std::move(answer)).state->load.pace.has_value());
    for (double const pace : {0.1, 0.4, 1.0, 4.0}) {
        state.load.pace = pace;
        auto const read = extract_hop_answer(write_hop_answer(gate_ran{{200, {}, "body"}}, state));
        CHECK(read.state.has_value());
        DOUBLES_EQUAL(pace, read.state->load.pace.value(), 1e-9);
        UNSIGNED_LONGS_EQUAL(6, read.state->load.slots);
        CHECK(read.state->configuration == 7);
    }
    for (std::string const odd : {"p0", "p", "px", "p-1", "p99999", "40"}) {
        auto malformed = write_hop_answer(gate_ran{{200, {}, "body"}}, state);
        malformed.headers.set("Peridot-State", "0;0;0;0;0;6;0;0;0;7;" + odd);
        auto const read = extract_hop_answer(std::move(malformed));
        CHECK(std::holds_alternative<gate_ran>(read.answer));
        CHECK_FALSE(read.state.has_value());
    }
}

// Guards against a workspace that is lost between nodes, or taken from a caller's own field.
TEST(hop_message, workspace_of_the_call_arrives) {
    http_request request;
    request.headers.set("Peridot-Workspace", "other;0");
    gate_call call;
    call.attempt_id = "a1";
    write_hop_call(request, call, now);
    CHECK_FALSE(request.headers.contains("Peridot-Workspace"));
    call.workspace = "bakery; north";
    call.workspace_priority = 3;
    write_hop_call(request, call, now);
    auto const read = extract_hop_call(request, now);
    CHECK(read.has_value());
    STRCMP_EQUAL("bakery; north", read->workspace.c_str());
    CHECK(read->workspace_priority == 3U);
    CHECK_FALSE(request.headers.contains("Peridot-Workspace"));
}

// Guards against values that a node computes outside of a field's range, such as a wait without
// end, and that the receiver could not read.
TEST(hop_message, values_out_of_range_are_limited_by_the_sender) {
    hop_state state;
    state.load.expected_wait = milliseconds::max();
    state.load.service_time = milliseconds(-1);
    state.load.failure_rate = 7;
    auto const read = extract_hop_answer(write_hop_answer(
        gate_refusal{result_code::request_overloaded, milliseconds::max()}, state));
    auto const* refused = std::get_if<gate_refusal>(&read.answer);
    CHECK(refused != nullptr);
    CHECK(refused->retry_after > milliseconds(0));
    CHECK(read.state.has_value());
    CHECK(read.state->load.expected_wait > milliseconds(0));
    CHECK(read.state->load.service_time == milliseconds(0));
    DOUBLES_EQUAL(1.0, read.state->load.failure_rate, 1e-9);
}

// Guards against a field of the state that cannot be read, and turns a request that has run, or
// that was refused, into one of unknown outcome.
TEST(hop_message, unreadable_state_does_not_change_the_outcome) {
    hop_state const state;
    for (std::string const odd : {"0;0;0;1;1;1;1;1;1;99999999999999999999999",
                                  "0;0;0;x;1;1;1;1;1;1", "0;0;0;1", "0;0;0;1;1;1;1;1;1;1;1"}) {
        auto answer = write_hop_answer(gate_ran{{200, {}, "body"}}, state);
        answer.headers.set("Peridot-State", odd);
        auto const read = extract_hop_answer(std::move(answer));
        CHECK(std::holds_alternative<gate_ran>(read.answer));
        CHECK_FALSE(read.state.has_value());
    }
    auto refusal = write_hop_answer(gate_refusal{result_code::request_draining, {}}, state);
    refusal.headers.set("Peridot-State",
                        "2;" +
                            std::to_string(static_cast<unsigned>(result_code::request_draining)) +
                            ";x;1;1;1;1;1;1;1");
    auto const read = extract_hop_answer(std::move(refusal));
    auto const* refused = std::get_if<gate_refusal>(&read.answer);
    CHECK(refused != nullptr);
    CHECK(refused->reason == result_code::request_draining);
}

// Guards against an outcome that is guessed.
TEST(hop_message, answer_without_a_readable_outcome_is_unknown) {
    for (std::string const odd : {"", "x;0;0;1;1;1;1;1;1;1", "7;0;0;1;1;1;1;1;1;1"}) {
        http_response answer{200, {}, "body"};
        answer.headers.set("Peridot-State", odd);
        CHECK(std::holds_alternative<gate_unknown>(extract_hop_answer(std::move(answer)).answer));
    }
}

// Guards against a request that counts as possibly run although the other node's server has refused
// it before its gate saw it, and against a response of a target that is taken for such a refusal.
TEST(hop_message, refusal_by_the_server_of_another_node_is_a_refusal) {
    http_response refusal{503, {{"Peridot-Outcome", "not_run"}}, ""};
    auto const read = extract_hop_answer(refusal).answer;
    CHECK(std::holds_alternative<gate_refusal>(read));
    CHECK(std::get<gate_refusal>(read).reason == result_code::request_overloaded);
    auto const passed_on = write_hop_answer(gate_ran{refusal}, {});
    CHECK(std::holds_alternative<gate_ran>(extract_hop_answer(passed_on).answer));
    http_response const unmarked{503, {}, ""};
    CHECK(std::holds_alternative<gate_unknown>(extract_hop_answer(unmarked).answer));
}

// Guards against calls that another node cannot read because a value is at the limit of its type.
TEST(hop_message, calls_round_trip_at_the_limits_of_each_field) {
    auto call = make_call();
    call.priority = std::numeric_limits<unsigned>::max();
    call.soft_deadline = now + std::chrono::hours(24);
    call.deadline = now + std::chrono::hours(24);
    call.finish_by = boot_time::max();
    auto const read = exchanged(call);
    CHECK(read.has_value());
    UNSIGNED_LONGS_EQUAL(call.priority, read->priority);
    CHECK(read->deadline == call.deadline);
    CHECK(read->finish_by >= call.deadline);
}
