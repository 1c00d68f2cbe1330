#include "link_simulation.h"

#include "mesh/link_request.h"

#include <algorithm>
#include <numeric>

namespace peridot {

namespace {

constexpr std::chrono::microseconds step{500};
constexpr milliseconds small_gap{4};
constexpr seconds last_response_time{60};
constexpr double bits_per_megabit = 1e6;
constexpr double bits_per_byte = 8;

nanoseconds time_for(double bytes, double megabits) {
    std::chrono::duration<double> const time(bytes * bits_per_byte / (megabits * bits_per_megabit));
    return std::chrono::duration_cast<nanoseconds>(time);
}

} // namespace

link_simulation::link_simulation(std::optional<double> known_megabits) {
    for (std::size_t index = 0; index < targets; ++index) {
        this->schedules.push_back(std::make_unique<link_schedule>(known_megabits));
        this->free_at.push_back(this->now);
    }
}

void link_simulation::run(double large_megabits, seconds duration, double returned_share) {
    auto const end = this->now + duration;
    auto const large_gap = time_for(large_bytes, large_megabits);
    auto next_large = this->now;
    auto next_small = this->now;
    double returned_due = 0;
    while (this->now < end + last_response_time) {
        for (; next_large <= this->now && next_large < end; next_large += large_gap) {
            returned_due += returned_share;
            bool const is_returned = returned_due >= 1;
            returned_due -= is_returned ? 1 : 0;
            this->offer_large(is_returned);
        }
        for (; next_small <= this->now && next_small < end; next_small += small_gap) {
            this->start_small(this->next_small_target++ % targets);
        }
        this->complete_work();
        this->write_waiting();
        this->now += step;
    }
}

// Targets with equal waits take turns.
std::vector<std::size_t> link_simulation::targets_by_wait() {
    std::vector<std::size_t> order(targets);
    std::iota(order.begin(), order.end(), 0);
    auto const first = static_cast<std::ptrdiff_t>(this->next_large_target++ % targets);
    std::rotate(order.begin(), order.begin() + first, order.end());
    std::ranges::stable_sort(order, {}, [this](std::size_t target) {
        auto const& schedule = *this->schedules[target];
        return schedule.expected_wait(schedule.expected_bytes("large"), this->now + work,
                                      this->now);
    });
    return order;
}

void link_simulation::offer_large(bool is_returned) {
    auto& counts = is_returned ? this->returned_requests : this->large_requests;
    ++counts.offered;
    auto const deadline = this->now + large_deadline;
    auto const soft_deadline = is_returned ? this->now : this->now + large_soft_deadline;
    bool has_time = true;
    for (auto const limit : {soft_deadline, deadline}) {
        for (auto const target : this->targets_by_wait()) {
            auto const refused = this->schedules[target]->find_refusal(
                {"large", this->now + work, soft_deadline, limit}, this->now);
            if (!refused) {
                this->start_large(target, is_returned);
                return;
            }
            has_time = has_time && refused->retry_after.count() > 0;
        }
    }
    ++counts.refused;
    counts.refused_without_time += has_time ? 0 : 1;
}

void link_simulation::start_large(std::size_t target, bool is_returned) {
    auto const id = ++this->last_id;
    auto& schedule = *this->schedules[target];
    schedule.start(id, schedule.expected_bytes("large"), this->now + work);
    auto& counts = is_returned ? this->returned_requests : this->large_requests;
    auto const limit = this->now + (is_returned ? large_deadline : large_soft_deadline);
    this->running.push_back({id, target, &counts, true, this->now + work, limit});
}

void link_simulation::start_small(std::size_t target) {
    ++this->small_requests.offered;
    this->running.push_back({++this->last_id, target, &this->small_requests, false,
                             this->now + work, this->now + small_limit});
}

void link_simulation::complete_work() {
    while (!this->running.empty() && this->running.front().done <= this->now) {
        auto const request = this->running.front();
        this->running.pop_front();
        auto& schedule = *this->schedules[request.target];
        auto const bytes = request.is_large ? large_bytes : small_bytes;
        schedule.record_size(request.is_large ? "large" : "small", bytes);
        if (schedule.add_response(request.id, bytes, this->now)) {
            this->write(request);
        } else {
            this->waiting.emplace(request.id, request);
        }
    }
}

void link_simulation::write_waiting() {
    for (auto& schedule : this->schedules) {
        for (;;) {
            auto const next = schedule->next_response();
            if (!next || !schedule->try_write(*next, this->now)) {
                break;
            }
            this->write(this->waiting.at(*next));
            this->waiting.erase(*next);
        }
    }
}

void link_simulation::write(running_request const& request) {
    auto& free = this->free_at[request.target];
    auto const bytes = request.is_large ? large_bytes : small_bytes;
    free = std::max(free, this->now) + time_for(static_cast<double>(bytes), link_megabits);
    ++(free <= request.limit ? request.counts->in_time : request.counts->late);
}

} // namespace peridot
