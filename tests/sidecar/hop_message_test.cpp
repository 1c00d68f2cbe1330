#include "sidecar/hop_message.h"

#include <CppUTest/TestHarness.h>

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
