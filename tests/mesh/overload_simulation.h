#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "mesh/gate_queue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace peridot {

struct arrival_stream;

/// Simulates constant arrivals at the queue of one target and counts the responses.
///
/// A request that is refused because it would be late is offered once more with its deadline as the
/// limit, as senders do when no other target is left. A request that is not answered by its
/// deadline fails then. Callers may come back after a refusal, as new requests with what is left of
/// their time, and may leave. Its random numbers are always the
/// same.
class overload_simulation {
public:
    static constexpr unsigned slots = 12;

    /// The streams must outlive the simulation.
    explicit overload_simulation(std::vector<arrival_stream*> sources);

    /// May be called again after the streams were changed.
    void run(seconds duration);

private:
    struct simulated_request {
        arrival_stream* stream = nullptr;
        boot_time arrived;
        boot_time deadline;
        boot_time end;
        /// Time at which the caller leaves.
        boot_time leaves;
    };

    /// Returns the number of completed requests.
    std::size_t complete_requests();
    void offer_request(arrival_stream& stream);
    void offer_attempt(simulated_request const& request);
    void refuse(simulated_request const& request);
    void offer_returns();
    milliseconds work_of(arrival_stream const& stream);
    /// Takes the waiting requests of callers that leave out of the queue.
    void cancel_requests();
    void start_request(std::uint64_t id);

    boot_time now{std::chrono::hours(1)};
    gate_queue queue;
    std::vector<arrival_stream*> streams;
    std::map<std::uint64_t, simulated_request> offered;
    std::map<std::uint64_t, simulated_request> running;
    std::multimap<boot_time, simulated_request> returns;
    std::uint64_t last_id = 0;
    std::mt19937 random;
};

} // namespace peridot
