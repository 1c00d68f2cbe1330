#include "sidecar/request_observer.h"

#include "moves/call_result.h"
#include "moves/latency_buckets.h"

#include <algorithm>
#include <utility>

namespace peridot {

microseconds request_observer::open_request::latency(boot_time now) const {
    auto const end = this->response_started.value_or(now);
    return std::chrono::duration_cast<microseconds>(end - this->started);
}

void request_observer::set_rollout(std::string const& next) {
    if (next == this->id) {
        return;
    }
    this->id = next;
    this->counter = evidence_counter();
    for (auto& [number, request] : this->open) {
        request.side.reset();
    }
}

std::uint64_t request_observer::start(std::string route, std::optional<target_side> side,
                                      unsigned pressure, boot_time now) {
    auto const number = ++this->last_number;
    this->open.emplace(number, open_request{std::move(route), side, pressure, now, {}, 0});
    return number;
}

void request_observer::set_response_started(std::uint64_t number, boot_time now) {
    auto const found = this->open.find(number);
    if (found != this->open.end() && !found->second.response_started) {
        found->second.response_started = now;
    }
}

void request_observer::finish(std::uint64_t number, call_outcome outcome, boot_time now) {
    auto const found = this->open.find(number);
    if (found == this->open.end()) {
        return;
    }
    auto const ended = this->open.extract(found);
    auto const& request = ended.mapped();
    if (!request.side) {
        return;
    }
    call_result call;
    call.side = *request.side;
    call.outcome = outcome;
    call.latency = request.latency(now);
    call.pressure = static_cast<std::uint8_t>(request.pressure);
    this->counter.record(request.route, call, request.counted_buckets);
}

evidence_by_route const& request_observer::counts(boot_time now) {
    for (auto& [number, request] : this->open) {
        if (!request.side) {
            continue;
        }
        auto const reached = latency_buckets::index(request.latency(now)) + 1;
        this->counter.record_progress(request.route, *request.side, request.counted_buckets,
                                      reached);
        request.counted_buckets = std::max(request.counted_buckets, reached);
    }
    return this->counter.counts();
}

} // namespace peridot
