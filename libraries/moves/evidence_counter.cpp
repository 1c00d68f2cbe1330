#include "moves/evidence_counter.h"

#include <algorithm>

namespace peridot {

struct evidence_counter::implementation {
    evidence_by_route counts;

    route_evidence& at(std::string_view route) {
        auto const name = route.substr(0, route_evidence::maximum_route_length);
        auto found = this->counts.find(name);
        if (found == this->counts.end()) {
            found = this->counts.emplace(std::string(name), route_evidence{}).first;
        }
        return found->second;
    }

    version_evidence& at(std::string_view route, target_side side) {
        auto& evidence = this->at(route);
        return side == target_side::new_version ? evidence.new_version : evidence.old_version;
    }
};

evidence_counter::evidence_counter() : state(std::make_unique<implementation>()) {}
evidence_counter::~evidence_counter() = default;
evidence_counter::evidence_counter(evidence_counter&&) noexcept = default;
evidence_counter& evidence_counter::operator=(evidence_counter&&) noexcept = default;

void evidence_counter::record(std::string_view route, call_result const& call) {
    this->record(route, call, 0);
}

void evidence_counter::record_progress(std::string_view route, target_side side, std::size_t first,
                                       std::size_t end) {
    auto& counts = this->state->at(route, side);
    for (auto bucket = first; bucket < end; ++bucket) {
        counts.reached[bucket] += 1;
    }
}

void evidence_counter::record(std::string_view route, call_result const& call,
                              std::size_t counted_buckets) {
    if (call.outcome == call_outcome::not_judged || call.attempt == call_attempt::retry) {
        return;
    }
    this->record_progress(route, call.side, counted_buckets,
                          latency_buckets::index(call.latency) + 1);
    if (call.outcome == call_outcome::abandoned) {
        return;
    }
    auto& counts = this->state->at(route, call.side);
    bool const failed = call.outcome == call_outcome::failed;
    bool const loaded = call.pressure >= call_result::high_pressure;
    counts.calls += 1;
    counts.failures += failed ? 1 : 0;
    counts.loaded_calls += loaded ? 1 : 0;
    counts.loaded_failures += failed && loaded ? 1 : 0;
    counts.pressure_sum += std::min<std::uint8_t>(call.pressure, 100);
    if (!failed) {
        counts.latencies[latency_buckets::index(call.latency)] += 1;
    }
}

void evidence_counter::add(evidence_by_route const& counts) {
    for (auto const& [route, added] : counts) {
        auto& evidence = this->state->at(route);
        evidence.old_version += added.old_version;
        evidence.new_version += added.new_version;
    }
}

evidence_by_route const& evidence_counter::counts() const {
    return this->state->counts;
}

} // namespace peridot
