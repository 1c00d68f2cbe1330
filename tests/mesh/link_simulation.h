#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "mesh/link_schedule.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridot {

/// Simulates targets behind slow links, as large and small requests arrive at constant rates, and
/// counts the responses.
///
/// Each link transmits what was written in the order of writing. A large request is offered to the
/// targets in the order of their expected waits until one admits it, first with its soft deadline
/// as the limit and then with its deadline, as senders do. The simulation has no randomness.
class link_simulation {
public:
    static constexpr std::size_t targets = 6;
    static constexpr double link_megabits = 14;
    static constexpr std::uint64_t large_bytes = 90'000;
    static constexpr std::uint64_t small_bytes = 600;
    static constexpr milliseconds work{120};
    /// A large response is in time until its soft deadline.
    static constexpr milliseconds large_soft_deadline{600};
    static constexpr milliseconds large_deadline{1500};
    static constexpr milliseconds small_limit{300};

    /// What became of the requests of one kind.
    struct outcome_counts {
        std::int64_t offered = 0;
        std::int64_t in_time = 0;
        std::int64_t late = 0;
        std::int64_t refused = 0;
        /// Number of refusals without a time after which to retry.
        std::int64_t refused_without_time = 0;
    };

    /// The rate that the schedules know; without one they decide nothing.
    explicit link_simulation(std::optional<double> known_megabits);

    /// Offers large responses of the given total rate for the duration, and awaits the last
    /// response. A share of the large requests has already passed its soft deadline on arrival, as
    /// those of callers that return after a refusal.
    void run(double large_megabits, seconds duration, double returned_share = 0);

    outcome_counts const& large() const { return this->large_requests; }
    outcome_counts const& small() const { return this->small_requests; }
    /// Large requests that had passed their soft deadline on arrival; in time until the deadline.
    outcome_counts const& returned() const { return this->returned_requests; }

private:
    struct running_request {
        std::uint64_t id = 0;
        std::size_t target = 0;
        outcome_counts* counts = nullptr;
        bool is_large = false;
        boot_time done;
        boot_time limit;
    };

    void offer_large(bool is_returned);
    void start_large(std::size_t target, bool is_returned);
    void start_small(std::size_t target);
    void complete_work();
    void write_waiting();
    void write(running_request const& request);
    std::vector<std::size_t> targets_by_wait();

    boot_time now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<link_schedule>> schedules;
    /// Time at which each link has transmitted everything that was written.
    std::vector<boot_time> free_at;
    std::deque<running_request> running;
    std::map<std::uint64_t, running_request> waiting;
    outcome_counts large_requests;
    outcome_counts small_requests;
    outcome_counts returned_requests;
    std::size_t next_large_target = 0;
    std::size_t next_small_target = 0;
    std::uint64_t last_id = 0;
};

} // namespace peridot
