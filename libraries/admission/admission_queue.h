#pragma once

#include "admission/admission_queue_options.h"
#include "admission/waiting_request.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace peridot {

/// A refused request and the reason.
struct refused_request {
    waiting_request waiting;
    result_code code = result_code::request_overloaded;
};

/// Result of pop(): the next request to run, and the requests that were refused before it.
struct dispatch_result {
    std::optional<waiting_request> next;
    std::vector<refused_request> refused;
};

/// Bounded queue of requests that wait for a slot, ordered by class and then by deadline. It is not
/// thread-safe and calls no callbacks; admission_controller accesses it from one thread only.
class admission_queue {
public:
    explicit admission_queue(admission_queue_options const& options);
    ~admission_queue();
    admission_queue(admission_queue const&) = delete;
    admission_queue& operator=(admission_queue const&) = delete;
    admission_queue(admission_queue&&) = delete;
    admission_queue& operator=(admission_queue&&) = delete;

    /// Adds a request. If the queue is full, removes and returns the least urgent request, which
    /// may be the new one.
    std::optional<refused_request> push(waiting_request waiting);

    /// Removes the most urgent request that can still meet its deadline with the expected service
    /// time. Refuses requests ahead of it that cannot, or that have exceeded the bound on queue
    /// delay.
    dispatch_result pop(steady_time now, nanoseconds expected_service_time);

    /// Removes all requests whose deadline has passed.
    std::vector<refused_request> remove_expired(steady_time now);

    /// Removes a cancelled request. Returns no value if it is no longer in the queue.
    std::optional<waiting_request> remove(std::uint64_t id);

    std::size_t size() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
