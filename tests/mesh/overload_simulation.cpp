#include "overload_simulation.h"

#include "arrival_stream.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

constexpr milliseconds queue_check_period{100};
constexpr unsigned slow_request_interval = 100;
constexpr double slow_factor = 5;

} // namespace

overload_simulation::overload_simulation(std::vector<arrival_stream*> sources)
    : streams(std::move(sources)) {
    this->queue.set_slots(slots);
}

void overload_simulation::run(seconds duration) {
    auto const end = this->now + duration;
    for (; this->now < end; this->now += milliseconds(1)) {
        bool const is_slot_free = this->complete_requests() > 0;
        this->cancel_requests();
        this->offer_returns();
        for (auto* stream : this->streams) {
            if (this->now.time_since_epoch() % stream->gap == nanoseconds(0)) {
                this->offer_request(*stream);
            }
        }
        if (is_slot_free || this->now.time_since_epoch() % queue_check_period == nanoseconds(0)) {
            auto const dequeued = this->queue.dispatch(this->now);
            for (auto const id : dequeued.started) {
                this->start_request(id);
            }
            for (auto const& [id, refused] : dequeued.refused) {
                this->refuse(this->offered.at(id));
                this->offered.erase(id);
            }
        }
    }
}

std::size_t overload_simulation::complete_requests() {
    return std::erase_if(this->running, [&](auto const& entry) {
        auto const& [id, request] = entry;
        if (std::min(request.end, request.leaves) > this->now) {
            return false;
        }
        if (request.end > request.leaves) {
            auto const result = request.leaves < request.deadline ? gate_queue::outcome::unanswered
                                                                  : gate_queue::outcome::failed;
            this->queue.finish(id, result, this->now);
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
    ++stream.offered;
    auto const deadline = this->now + stream.deadline;
    auto const leaves = stream.leaves_after > milliseconds(0)
                            ? std::min(deadline, this->now + stream.leaves_after)
                            : deadline;
    this->offer_attempt({&stream, this->now, deadline, {}, leaves});
}

void overload_simulation::offer_attempt(simulated_request const& request) {
    auto const& stream = *request.stream;
    auto const id = ++this->last_id;
    this->offered[id] = request;
    auto const soft_deadline = std::max(this->now, request.arrived + stream.target_latency);
    gate_request offer{id,
                       stream.route,
                       stream.priority,
                       soft_deadline,
                       request.deadline,
                       soft_deadline,
                       stream.workspace,
                       stream.workspace_priority};
    auto decision = this->queue.offer(offer, this->now);
    if (std::holds_alternative<gate_refusal>(decision)) {
        offer.finish_by = offer.deadline;
        decision = this->queue.offer(offer, this->now);
    }
    if (std::holds_alternative<gate_start>(decision)) {
        this->start_request(id);
    } else if (std::holds_alternative<gate_refusal>(decision)) {
        this->offered.erase(id);
        this->refuse(request);
    }
}

void overload_simulation::refuse(simulated_request const& request) {
    auto const pause = request.stream->retry_pause;
    if (pause > milliseconds(0) && this->now + pause < request.leaves) {
        this->returns.emplace(this->now + pause, request);
    }
}

void overload_simulation::offer_returns() {
    while (!this->returns.empty() && this->returns.begin()->first <= this->now) {
        auto const request = this->returns.begin()->second;
        this->returns.erase(this->returns.begin());
        this->offer_attempt(request);
    }
}

void overload_simulation::cancel_requests() {
    std::erase_if(this->offered, [this](auto const& entry) {
        auto const& [id, request] = entry;
        bool const has_left = request.leaves <= this->now && request.leaves < request.deadline;
        if (has_left) {
            this->queue.cancel(id, this->now);
        }
        return has_left;
    });
}

milliseconds overload_simulation::work_of(arrival_stream const& stream) {
    if (stream.work_spread <= 0) {
        return stream.work;
    }
    double const spread = stream.work_spread;
    // The mean of the factors is 1.
    std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
    double const exact = static_cast<double>(stream.work.count()) * factor(this->random);
    bool const is_slow = this->random() % slow_request_interval == 0;
    return milliseconds(std::llround(is_slow ? exact * slow_factor : exact));
}

void overload_simulation::start_request(std::uint64_t id) {
    auto request = this->offered.at(id);
    this->offered.erase(id);
    request.end = this->now + this->work_of(*request.stream);
    ++request.stream->started;
    this->running[id] = request;
}

} // namespace peridot
