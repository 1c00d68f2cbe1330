#include "proxy/call_router.h"

#include "http/http_request.h"
#include "proxy/credential.h"
#include "proxy/header_names.h"
#include "proxy/move_choice.h"
#include "proxy/node_state.h"

#include <algorithm>
#include <charconv>

namespace peridot {

namespace {

// Attempts beyond this are malformed input; they read as the last one that is allowed.
constexpr unsigned highest_attempt = 16;

unsigned read_attempt(http_request const& request) {
    auto const text = request.headers.value(header_names::attempt);
    unsigned attempt = 1;
    std::from_chars(text.data(), text.data() + text.size(), attempt);
    return std::clamp(attempt, 1U, highest_attempt);
}

status find_destination(routed_call& call, http_request const& request) {
    auto const service_end = request.target.find_first_of("/?", 1);
    auto const name = request.target.substr(1, service_end - 1);
    call.path = service_end == std::string::npos ? "/" : request.target.substr(service_end);
    if (call.path.front() == '?') {
        call.path.insert(0, "/");
    }
    call.grant = find_grant(*call.terms, name);
    if (call.grant != nullptr) {
        call.matched = find_route(*call.grant, request.method, call.path);
        call.service = call.snapshot->find_service(call.grant->service);
    }
    if (call.matched == nullptr || call.service == nullptr) {
        return error{result_code::request_no_route,
                     "the contract has no route for " + request.method + " " + request.target};
    }
    return success();
}

status set_deadline(routed_call& call, http_request const& request, steady_time now) {
    auto left = call.matched->timeout;
    auto const given = request.headers.value(header_names::deadline);
    if (!given.empty()) {
        auto const asked = parse_time_left(given);
        if (!is_ok(asked)) {
            return failure(asked);
        }
        left = std::min(left, value(asked));
    }
    if (left.count() <= 0) {
        return error{result_code::request_deadline_exceeded, "no time is left"};
    }
    call.end = deadline_after(now, left);
    return success();
}

} // namespace

result<routed_call> route_call(node_state const& state, http_request const& request,
                               std::string request_id, steady_time now) {
    routed_call call;
    call.snapshot = state.snapshots.current();
    if (!call.snapshot || !state.is_ready.load(std::memory_order_relaxed)) {
        return error{result_code::request_not_ready, "the node holds no confirmed version yet"};
    }
    if (state.is_draining.load(std::memory_order_relaxed)) {
        return error{result_code::request_draining, "the node is leaving"};
    }
    auto const terms =
        authenticate(*call.snapshot, request.headers.value(header_names::authorization));
    if (!is_ok(terms)) {
        return failure(terms);
    }
    call.terms = value(terms);
    auto const found = find_destination(call, request);
    if (!is_ok(found)) {
        return failure(found);
    }
    auto const timed = set_deadline(call, request, now);
    if (!is_ok(timed)) {
        return failure(timed);
    }
    call.kind = is_idempotent(*call.matched, request.method) ? idempotence::idempotent
                                                             : idempotence::non_idempotent;
    call.attempt = read_attempt(request);
    call.request_id = std::move(request_id);
    call.target_version = call.service->target_version;
    choose_target_version(call, state, request, now);
    return call;
}

} // namespace peridot
