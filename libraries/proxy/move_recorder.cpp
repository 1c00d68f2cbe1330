#include "proxy/move_recorder.h"

#include "proxy/attempt_result.h"
#include "proxy/routed_call.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr unsigned first_server_error = 500;
constexpr unsigned full_pressure = 100;
// Suspicions of moves that ended are dropped beyond this.
constexpr std::size_t most_suspicions = 64;

call_outcome judge_attempt(attempt_result const& ended) {
    if (!ended.failed) {
        return ended.answer.status >= first_server_error ? call_outcome::failed
                                                         : call_outcome::succeeded;
    }
    if (ended.failed->code == result_code::request_cancelled) {
        return call_outcome::abandoned;
    }
    bool const is_fault = ended.failed->outcome == attempt_outcome::unknown ||
                          ended.failed->code == result_code::request_connect_failed;
    // Other refusals (limits, admission, draining, no time left) say nothing of the version.
    return is_fault ? call_outcome::failed : call_outcome::not_judged;
}

} // namespace

void move_recorder::record(routed_call const& call, attempt_result const& ended, unsigned attempt,
                           nanoseconds latency, steady_time now) {
    if (!call.move) {
        return;
    }
    call_result seen;
    seen.side = call.side;
    seen.attempt = attempt > 1 ? call_attempt::retry : call_attempt::first;
    seen.outcome = judge_attempt(ended);
    seen.latency = std::chrono::duration_cast<microseconds>(latency);
    seen.pressure =
        static_cast<std::uint8_t>(std::min(ended.seen.pressure.value_or(0), full_pressure));
    auto const counters = call.move->routes.find(call.matched->path_prefix);
    if (counters != call.move->routes.end()) {
        counters->second->record(seen);
    }
    if (this->suspicions.size() > most_suspicions) {
        this->suspicions.clear();
    }
    auto& suspicion = this->suspicions[call.move->plan.id];
    suspicion.record(now, seen);
    if (suspicion.is_suspected(now)) {
        call.move->progress->suspect_until(suspicion.suspected_until());
    }
}

} // namespace peridot
