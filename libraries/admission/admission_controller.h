#pragma once

#include "admission/admission_queue_options.h"
#include "admission/concurrency_limit.h"
#include "admission/waiting_request.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

namespace peridot {

/// The request has to wait for a slot: call wait().
struct must_wait {};

/// What try_admit() says: a slot, a refusal that was not_run, or a need to wait.
using admission = std::variant<admission_permit, error, must_wait>;

/// Settings of the admission to one target.
struct admission_options {
    concurrency_limit_options limit;
    admission_queue_options queue;
};

/// Admission to the target beside this node, shared by the workers. Taking a free slot is one
/// compare-and-swap. Requests that find none are posted to the one thread that owns the queue, and
/// hear of the decision there; a coroutine resumes itself on its own worker from the callback.
class admission_controller {
public:
    /// Runs functions on the thread that owns the queue, in the order of the calls. It may run
    /// them at once when it is called on that thread.
    using post_function = std::function<void(std::function<void()>)>;
    /// The time on the owner when a posted function runs.
    using time_function = std::function<steady_time()>;

    admission_controller(admission_options const& options, post_function post_to_owner,
                         time_function now);
    ~admission_controller();
    admission_controller(admission_controller const&) = delete;
    admission_controller& operator=(admission_controller const&) = delete;
    admission_controller(admission_controller&&) = delete;
    admission_controller& operator=(admission_controller&&) = delete;

    /// Any thread. Takes a slot if one is free and nobody waits; refuses expired work and, while
    /// draining, all work.
    admission try_admit(admission_request const& request, steady_time now);

    /// Any thread. Puts the request into the queue; the result is an id for cancel(). The callback
    /// is called exactly once, also after a cancellation, but not after the owner has stopped.
    std::uint64_t wait(admission_request const& request, admission_callback on_decision);

    /// Any thread. Takes a request whose caller is gone out of the queue, with request_cancelled.
    /// Without effect when it was decided already.
    void cancel(std::uint64_t id);

    /// Any thread. Gives a slot back and counts the service time. Once per permit.
    void release(admission_permit const& permit, steady_time now);

    /// Owner only, about every 100 ms: drops expired work and adapts the concurrency limit.
    void tick();

    /// Any thread. Refuses new work from now on; work that waits or runs goes on.
    void start_drain();

    /// Use of slots and queue delay as 0 to 100: half for full slots, the rest for the queue.
    unsigned pressure() const;

    std::size_t in_flight() const;
    std::size_t waiting() const;
    std::size_t limit() const;
    /// Whether a drain has begun and nothing waits or runs any more.
    bool is_drained() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
