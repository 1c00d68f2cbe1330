#include "admission/admission_controller.h"

#include "admission/admission_queue.h"
#include "admission/slot_counter.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace peridot {

namespace {

void refuse(refused_request const& refused) {
    refused.waiting.on_decision(error{refused.code, "the admission queue dropped the request"});
}

} // namespace

struct admission_controller::implementation {
    implementation(admission_options const& options, post_function post_to_owner,
                   time_function owner_time)
        : post(std::move(post_to_owner))
        , now(std::move(owner_time))
        , delay_interval(options.queue.delay_interval)
        , slots(static_cast<std::uint32_t>(std::max<std::size_t>(1, options.limit.slots)))
        , queue(options.queue)
        , adaptive_limit(options.limit) {}

    // Accessed by all threads.
    post_function post;
    time_function now;
    nanoseconds delay_interval;
    slot_counter slots;
    std::atomic<std::uint64_t> next_id{1};
    std::atomic<std::uint64_t> completions{0};
    std::atomic<std::int64_t> service_time_sum{0};
    std::atomic<std::int64_t> mean_service_time{0};

    // Accessed only by the thread that owns the queue.
    admission_queue queue;
    concurrency_limit adaptive_limit;

    void enqueue(waiting_request waiting);
    void dispatch_waiting();
    bool dispatch_one();
    void refuse_all(std::vector<refused_request> const& refused);
    void remove(std::uint64_t id);
    void adapt();
};

void admission_controller::implementation::enqueue(waiting_request waiting) {
    if (auto shed = this->queue.push(std::move(waiting))) {
        this->slots.remove_waiting();
        refuse(*shed);
    }
    this->dispatch_waiting();
}

void admission_controller::implementation::dispatch_waiting() {
    while (this->queue.size() > 0 && this->dispatch_one()) {
    }
}

/// Dispatches at most one waiting request. Returns false if there is no free slot or no request is
/// left to dispatch.
bool admission_controller::implementation::dispatch_one() {
    if (!this->slots.try_acquire_for_waiting()) {
        return false;
    }
    auto const time = this->now();
    auto popped = this->queue.pop(time, nanoseconds(this->mean_service_time.load()));
    this->refuse_all(popped.refused);
    if (!popped.next) {
        // NOTE: A refusal callback may have enqueued another request. The caller's loop dispatches
        // it.
        this->slots.release();
        return this->queue.size() > 0;
    }
    this->slots.remove_waiting();
    popped.next->on_decision(admission_permit{time, time - popped.next->request.arrived});
    return true;
}

void admission_controller::implementation::refuse_all(std::vector<refused_request> const& refused) {
    for (auto const& each : refused) {
        this->slots.remove_waiting();
        refuse(each);
    }
}

void admission_controller::implementation::remove(std::uint64_t id) {
    if (auto waiting = this->queue.remove(id)) {
        this->slots.remove_waiting();
        waiting->on_decision(
            error{result_code::request_cancelled, "the caller cancelled the request"});
    }
}

void admission_controller::implementation::adapt() {
    auto const count = this->completions.exchange(0);
    auto const sum = this->service_time_sum.exchange(0);
    if (count == 0) {
        return;
    }
    this->adaptive_limit.record_window(count, nanoseconds(sum / static_cast<std::int64_t>(count)));
    this->mean_service_time = this->adaptive_limit.mean_service_time().count();
    this->slots.set_limit(static_cast<std::uint32_t>(this->adaptive_limit.limit()));
}

admission_controller::admission_controller(admission_options const& options,
                                           post_function post_to_owner, time_function now)
    : self(std::make_shared<implementation>(options, std::move(post_to_owner), std::move(now))) {}

admission_controller::~admission_controller() = default;

admission admission_controller::try_admit(admission_request const& request, steady_time now) {
    if (now >= request.deadline) {
        return error{result_code::request_deadline_exceeded, "the deadline has passed"};
    }
    if (this->self->slots.try_acquire()) {
        return admission_permit{now, nanoseconds::zero()};
    }
    if (this->self->slots.is_draining()) {
        return error{result_code::request_draining, "the node is draining"};
    }
    return must_wait{};
}

std::uint64_t admission_controller::wait(admission_request const& request,
                                         admission_callback on_decision) {
    auto const id = this->self->next_id.fetch_add(1, std::memory_order_relaxed);
    // Counted before the function is posted, so that try_admit() on other threads cannot overtake
    // the request and a drain waits for it.
    this->self->slots.add_waiting();
    this->self->post(
        [state = this->self, id, request, on_decision = std::move(on_decision)]() mutable {
            state->enqueue({id, request, std::move(on_decision)});
        });
    return id;
}

void admission_controller::cancel(std::uint64_t id) {
    this->self->post([state = this->self, id] { state->remove(id); });
}

void admission_controller::release(admission_permit const& permit, steady_time now) {
    this->self->completions.fetch_add(1, std::memory_order_relaxed);
    this->self->service_time_sum.fetch_add((now - permit.admitted).count(),
                                           std::memory_order_relaxed);
    if (this->self->slots.release()) {
        this->self->post([state = this->self] { state->dispatch_waiting(); });
    }
}

void admission_controller::tick() {
    this->self->refuse_all(this->self->queue.remove_expired(this->self->now()));
    this->self->adapt();
    this->self->dispatch_waiting();
}

void admission_controller::start_drain() {
    this->self->slots.start_drain();
}

unsigned admission_controller::pressure() const {
    constexpr double component_maximum = 50.0;
    auto const& slots = this->self->slots;
    double const limit = slots.limit();
    double const slot_utilization = std::min(1.0, slots.in_use() / limit);
    auto const mean_service_time_ns = static_cast<double>(this->self->mean_service_time.load());
    // The delay of a request that is enqueued now, by Little's law.
    double const queue_delay = slots.waiting() * mean_service_time_ns / limit;
    double const relative_delay =
        queue_delay / static_cast<double>(this->self->delay_interval.count());
    return static_cast<unsigned>(component_maximum * slot_utilization +
                                 component_maximum * std::min(1.0, relative_delay));
}

std::size_t admission_controller::in_flight() const {
    return this->self->slots.in_use();
}

std::size_t admission_controller::waiting() const {
    return this->self->slots.waiting();
}

std::size_t admission_controller::limit() const {
    return this->self->slots.limit();
}

bool admission_controller::is_drained() const {
    auto const& slots = this->self->slots;
    return slots.is_draining() && slots.in_use() == 0 && slots.waiting() == 0;
}

} // namespace peridot
