#include "overload_simulation.h"

#include "arrival_stream.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

constexpr milliseconds queue_check_period{100};

} // namespace

overload_simulation::overload_simulation(std::vector<arrival_stream*> sources)
    : streams(std::move(sources)) {
    this->queue.set_slots(slots);
}

void overload_simulation::run(seconds duration) {
    auto const end = this->now + duration;
    for (; this->now < end; this->now += milliseconds(1)) {
        bool const is_slot_free = this->complete_requests() > 0;
        for (auto* stream : this->streams) {
            if (this->now.time_since_epoch() % stream->gap == nanoseconds(0)) {
                this->offer_request(*stream);
            }
        }
        if (is_slot_free || this->now.time_since_epoch() % queue_check_period == nanoseconds(0)) {
            for (auto const id : this->queue.dispatch(this->now).started) {
                this->start_request(id);
            }
        }
    }
}

std::size_t overload_simulation::complete_requests() {
    return std::erase_if(this->running, [&](auto const& entry) {
        auto const& [id, request] = entry;
        if (std::min(request.end, request.deadline) > this->now) {
            return false;
        }
        if (request.end > request.deadline) {
            this->queue.finish(id, gate_queue::outcome::failed, this->now);
            return true;
        }
        this->queue.finish(id, gate_queue::outcome::succeeded, this->now);
        ++request.stream->answered;
        bool const is_in_time = this->now - request.arrived <= request.stream->target_latency;
        request.stream->in_time += is_in_time ? 1 : 0;
        return true;
    });
}

void overload_simulation::offer_request(arrival_stream& stream) {
    auto const id = ++this->last_id;
    ++stream.offered;
    this->offered[id] = {&stream, this->now, this->now + stream.deadline, {}};
    gate_request request{id,
                         stream.route,
                         stream.priority,
                         this->now + stream.target_latency,
                         this->now + stream.deadline,
                         this->now + stream.target_latency};
    auto decision = this->queue.offer(request, this->now);
    if (std::holds_alternative<gate_refusal>(decision)) {
        request.finish_by = request.deadline;
        decision = this->queue.offer(request, this->now);
    }
    if (std::holds_alternative<gate_start>(decision)) {
        this->start_request(id);
    }
}

void overload_simulation::start_request(std::uint64_t id) {
    auto request = this->offered.at(id);
    request.end = this->now + request.stream->work;
    ++request.stream->started;
    this->running[id] = request;
}

} // namespace peridot
