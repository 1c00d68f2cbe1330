#pragma once

#include "admission/admission_queue_options.h"

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridot::overload {

/// How entry nodes receive the pressure of targets.
enum class pressure_source : std::uint8_t { none, answers, gossip };

/// Whether the first target becomes ten times slower.
enum class slowdown : std::uint8_t { none, first_target };

/// Whether the concurrency limit follows the observed latency.
enum class limit_kind : std::uint8_t { fixed, adaptive };

/// Overload protection in front of a target's slots.
enum class protection : std::uint8_t {
    /// Admission by admission_controller.
    admission,
    /// An unbounded first-in, first-out queue without deadlines, which shows the failure that
    /// admission prevents.
    plain_queue,
};

/// Settings of one run of the queueing model.
struct scenario {
    std::string name;
    /// Offered load as a multiple of the capacity of all targets.
    double load = 1.0;
    queue_bound bound = queue_bound::controlled_delay;
    pressure_source pressure = pressure_source::answers;
    slowdown slow = slowdown::none;
    limit_kind limit = limit_kind::adaptive;
    protection guard = protection::admission;
    std::uint64_t seed = 1;
    seconds length{10};
};

/// Fixed dimensions of the model, which correspond to the endpoints of the smaller deployment.
struct model_sizes {
    std::size_t targets = 3;
    std::size_t entry_nodes = 6;
    std::size_t slots = 12;
    milliseconds service_time{10};
    milliseconds deadline{250};
    std::chrono::microseconds network_delay{500};
    /// Requests that start in this period are not counted, and the slowdown is not yet active.
    seconds warm_up{2};
    double slow_factor = 10.0;
    double background_part = 0.1;
};

/// Result of a run, for requests that started after the warm-up.
struct run_result {
    double requests = 0.0;
    /// Responses completed before the deadline, as a fraction of the capacity.
    double goodput = 0.0;
    double failed_part = 0.0;
    double interactive_failed_part = 0.0;
    double attempts_per_request = 0.0;
    /// Fraction of the attempts that were sent to the first target.
    double first_target_part = 0.0;
    double median_milliseconds = 0.0;
    /// Over all requests; a failed request counts with the time until its failure was detected, at
    /// most the deadline.
    double p99_milliseconds = 0.0;
};

/// Runs the model; the same settings give the same result.
run_result run(scenario const& settings, model_sizes const& sizes = {});

} // namespace peridot::overload
