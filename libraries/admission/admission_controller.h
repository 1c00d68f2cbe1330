#pragma once

#include "admission/admission_queue_options.h"
#include "admission/concurrency_limit.h"
#include "admission/waiting_request.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

namespace peridot {

/// No slot is free: the request has to be enqueued with wait().
struct must_wait {};

/// Result of try_admit(): a slot, a refusal of a request that has not run (not_run), or must_wait.
using admission = std::variant<admission_permit, error, must_wait>;

/// Options of the admission control for one target.
struct admission_options {
    concurrency_limit_options limit;
    admission_queue_options queue;
};

/// Admission control for this node's local target, shared by all worker threads. A free slot is
/// acquired with one compare-and-swap. If no slot is free, the request is posted to the single
/// thread that owns the queue, and its callback is called there with the decision; a coroutine has
/// to resume itself on its own worker from the callback.
class admission_controller {
public:
    /// Runs functions on the thread that owns the queue, in the order in which they were posted. A
    /// function that is posted from that thread may run synchronously.
    using post_function = std::function<void(std::function<void()>)>;
    /// Returns the current time; called on the owner thread when a posted function runs.
    using time_function = std::function<steady_time()>;

    admission_controller(admission_options const& options, post_function post_to_owner,
                         time_function now);
    ~admission_controller();
    admission_controller(admission_controller const&) = delete;
    admission_controller& operator=(admission_controller const&) = delete;
    admission_controller(admission_controller&&) = delete;
    admission_controller& operator=(admission_controller&&) = delete;

    /// Any thread. Acquires a slot if one is free and no request is waiting. Refuses expired
    /// requests and, during a drain, all requests.
    admission try_admit(admission_request const& request, steady_time now);

    /// Any thread. Enqueues the request and returns an id for cancel(). The callback is called
    /// exactly once, also after a cancellation, but not after the owner thread has stopped.
    std::uint64_t wait(admission_request const& request, admission_callback on_decision);

    /// Any thread. Removes a request from the queue after its caller has cancelled it; the callback
    /// receives request_cancelled. Has no effect if the request has already been decided.
    void cancel(std::uint64_t id);

    /// Any thread. Releases the slot and records the service time. Must be called once per permit.
    void release(admission_permit const& permit, steady_time now);

    /// Owner thread only. Refuses expired requests and adapts the concurrency limit. To be called
    /// about every 100 ms.
    void tick();

    /// Any thread. Refuses new requests from now on; waiting and running requests continue.
    void start_drain();

    /// Load from 0 to 100. Slot usage contributes up to 50, queue delay another 50.
    unsigned pressure() const;

    std::size_t in_flight() const;
    std::size_t waiting() const;
    std::size_t limit() const;
    /// Whether a drain has started and no request is waiting or running.
    bool is_drained() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
