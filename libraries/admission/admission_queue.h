#pragma once

#include "admission/admission_queue_options.h"
#include "admission/waiting_request.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace peridot {

/// A refused request and why.
struct refused_request {
    waiting_request waiting;
    result_code code = result_code::request_overloaded;
};

/// What a dispatch gives: the next request to run, and those given up on the way to it.
struct dispatch_result {
    std::optional<waiting_request> next;
    std::vector<refused_request> refused;
};

/// Bounded queue of requests that wait for a slot, by class and then by deadline. It belongs to
/// one thread and calls nobody back; admission_controller puts it behind messages.
class admission_queue {
public:
    explicit admission_queue(admission_queue_options const& options);
    ~admission_queue();
    admission_queue(admission_queue const&) = delete;
    admission_queue& operator=(admission_queue const&) = delete;
    admission_queue(admission_queue&&) = delete;
    admission_queue& operator=(admission_queue&&) = delete;

    /// Adds a request. When the queue is full it gives up the least urgent one, which may be the
    /// new one.
    std::optional<refused_request> push(waiting_request waiting);

    /// Removes the most urgent request that can still finish if it takes the given time. Refuses
    /// expired requests and those that waited too long.
    dispatch_result pop(steady_time now, nanoseconds expected_service_time);

    /// Removes every request whose deadline is over.
    std::vector<refused_request> remove_expired(steady_time now);

    /// Removes a request whose caller is gone; no value if it already left the queue.
    std::optional<waiting_request> remove(std::uint64_t id);

    std::size_t size() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
