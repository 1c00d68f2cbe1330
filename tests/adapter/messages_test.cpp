#include "platform/messages.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

http_response answer(unsigned status, header_list headers) {
    http_response made;
    made.status = status;
    made.headers = std::move(headers);
    return made;
}

} // namespace

TEST_GROUP(messages){};

// Guards against a success that did not come from the target or belongs to another request.
TEST(messages, only_marked_answers_of_the_attempt_prove_that_it_ran) {
    CHECK(classify_answer(answer(200, {{"X-Attempt-Id", "a"}, {"X-Server-Seal", "s"}}), "a") ==
          execution_proof::ran);
    CHECK(classify_answer(answer(500, {{"X-Attempt-Id", "a"}}), "a") == execution_proof::ran);
    CHECK(classify_answer(answer(200, {{"X-Attempt-Id", "b"}, {"X-Server-Seal", "s"}}), "a") ==
          execution_proof::none);
    CHECK(classify_answer(answer(200, {{"X-Attempt-Id", "a"}}), "a") == execution_proof::none);
    CHECK(classify_answer(answer(200, {{"X-Server-Seal", "s"}}), "a") == execution_proof::none);
    CHECK(classify_answer(
              answer(200,
                     {{"X-Attempt-Id", "a"}, {"X-Server-Seal", "s"}, {"Content-Encoding", "gzip"}}),
              "a") == execution_proof::none);
    CHECK(match_answer(answer(200, {{"X-Attempt-Id", "b"}}), "a") == response_match::mismatched);
}

// Guards against a refusal by the target that is classified as a failure, and vice versa.
TEST(messages, only_stated_refusals_prove_that_it_did_not_run) {
    CHECK(classify_answer(answer(503, {{"X-Attempt-Id", "a"}, {"X-Not-Executed", "1"}}), "a") ==
          execution_proof::not_run);
    CHECK(classify_answer(answer(421, {{"X-Attempt-Id", "a"}, {"X-Instance-Id", "i-2"}}), "a") ==
          execution_proof::not_run);
    CHECK(classify_answer(answer(503, {{"X-Attempt-Id", "a"}}), "a") == execution_proof::ran);
    CHECK(classify_answer(answer(503, {}), "a") == execution_proof::none);
}

// Guards against "not run" for a request that runs: a faulty target repeats the refusal of an
// earlier request on the connection, with that request's id or without any.
TEST(messages, repeated_refusal_of_an_earlier_request_proves_nothing) {
    for (unsigned const status : {503U, 421U, 429U, 400U}) {
        for (header_list const& headers :
             {header_list{{"X-Not-Executed", "1"}},
              header_list{{"X-Attempt-Id", "earlier"}, {"X-Not-Executed", "1"}}}) {
            auto const repeated = answer(status, headers);
            CHECK(classify_answer(repeated, "a") == execution_proof::none);
            CHECK(match_answer(repeated, "a") == response_match::mismatched);
        }
    }
    CHECK(match_answer(answer(421, {}), "a") == response_match::mismatched);
    CHECK(match_answer(answer(200, {}), "a") == response_match::matched);
}

// Guards against a limit that is overlooked, and against one that is read from a malformed field or
// from a different target at the same address.
TEST(messages, target_states_its_rate_limit) {
    auto const limit_in = [](std::string const& text) {
        return read_target_notice(answer(200, {{"Server-Limit", text}}))->rate_limit;
    };
    DOUBLES_EQUAL(12.8, limit_in("12.8").value(), 1e-9);
    DOUBLES_EQUAL(0, limit_in("0").value(), 0);
    for (char const* text : {"", "many", "-1", "inf", "nan", "12.8.1"}) {
        CHECK_FALSE(limit_in(text).has_value());
    }
    CHECK_FALSE(read_target_notice(answer(200, {}))->rate_limit.has_value());
    CHECK_FALSE(read_target_notice(answer(421, {{"Server-Limit", "1"}})).has_value());
}

// Guards against a pace that is overlooked, and against one that is read from a malformed field,
// from a target that states none, or from a different target at the same address.
TEST(messages, target_states_its_pace) {
    auto const pace_in = [](std::string const& text) {
        return read_target_pace(answer(200, {{"X-Server-Load", text}}));
    };
    DOUBLES_EQUAL(0.4, pace_in("6,1,6,250").value(), 1e-9);
    DOUBLES_EQUAL(1.25, pace_in("0,0,12,80").value(), 1e-9);
    for (char const* text : {"", "6,1,6", "6,1,6,", "6,1,6,x", "6,1,6,0", "6,1,6,-40", "6,1,6,inf",
                             "6,1,6,nan", "6,1,6,40,1", "40"}) {
        CHECK_FALSE(pace_in(text).has_value());
    }
    CHECK_FALSE(read_target_pace(answer(200, {})).has_value());
    CHECK_FALSE(read_target_pace(answer(421, {{"X-Server-Load", "6,1,6,40"}})).has_value());
}

// Guards against a target that leaves unnoticed because it only states so in its responses.
TEST(messages, target_states_its_leaving) {
    CHECK(read_target_notice(answer(200, {{"Server-Leaving", "1"}}))->is_leaving);
    CHECK(read_target_notice(answer(503, {{"X-Not-Executed", "1"}, {"Server-Leaving", "1"}}))
              ->is_leaving);
    CHECK_FALSE(read_target_notice(answer(200, {}))->is_leaving);
    CHECK_FALSE(read_target_notice(answer(200, {{"Server-Leaving", "0"}}))->is_leaving);
}

// Guards against a target that continues to work on a request after its deadline.
TEST(messages, target_receives_time_left_and_calling_service) {
    http_request request;
    request.headers.set("X-Attempt-Id", "a");
    request.headers.set("X-Deadline-Ms", "1500");
    request.headers.set("X-Caller-Service", "forged");
    auto const caller = read_request_metadata(request);
    CHECK(caller->time_left == milliseconds(1500));
    write_target_request(request, milliseconds(900), "i-1", "deposits");
    STRCMP_EQUAL("900", std::string(request.headers.value("X-Deadline-Ms")).c_str());
    STRCMP_EQUAL("i-1", std::string(request.headers.value("X-Expect-Instance")).c_str());
    STRCMP_EQUAL("deposits", std::string(request.headers.value("X-Caller-Service")).c_str());
    CHECK_FALSE(read_request_metadata(http_request{}).has_value());
}

// Guards against a call that affects a target other than the one in its path.
TEST(messages, target_calls_are_distinguished) {
    http_request request;
    request.method = "POST";
    request.target = "/instances/i-1/heartbeat";
    CHECK(read_target_call(request)->kind == target_call::purpose::heartbeat);
    request.target = "/instances/i-1/deregister";
    CHECK(read_target_call(request)->kind == target_call::purpose::deregister);
    for (char const* path : {"/instances//heartbeat", "/instances/a/b/heartbeat", "/instances/a"}) {
        request.target = path;
        CHECK_FALSE(read_target_call(request).has_value());
    }
}

// Guards against a Retry-After header whose time differs from the intended one.
TEST(messages, retry_after_has_fractions_of_seconds) {
    auto const made = make_local_answer(503, "a", milliseconds(250));
    STRCMP_EQUAL("0.250", std::string(made.headers.value("Retry-After")).c_str());
}
