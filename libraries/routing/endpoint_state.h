#pragma once

#include "core/time.h"
#include "membership/endpoint_directory.h"
#include "routing/attempt_observation.h"
#include "routing/endpoint_selector_options.h"

#include <cstdint>

namespace peridot {

/// What one worker knows about one incarnation of an endpoint. Internal to endpoint_selector.
struct endpoint_state {
    endpoint_directory::member_pointer member;
    steady_time ramp_start;
    std::uint32_t in_flight = 0;
    double reported_pressure = 0.0;
    steady_time pressure_time;
    std::uint32_t consecutive_failures = 0;
    double recent_attempts = 0.0;
    double recent_failures = 0.0;
    steady_time last_decay;
    std::uint32_t ejections = 0;
    steady_time ejected_until;
    /// Ejected until a trial request succeeds.
    bool is_ejected = false;
    bool is_probe_in_flight = false;
};

/// Weight between min_weight and 1 while the endpoint is new or just back from ejection.
double weight_of(endpoint_state const& state, endpoint_selector_options const& options,
                 steady_time now);

/// The last reported pressure, aged.
double pressure_of(endpoint_state const& state, endpoint_selector_options const& options,
                   steady_time now);

/// Expected cost of one more call, for comparing two endpoints.
double cost_of(endpoint_state const& state, endpoint_selector_options const& options,
               steady_time now);

/// Whether the endpoint may be chosen: not ejected, or due for its one trial request.
bool is_available(endpoint_state const& state, steady_time now);

/// Adds an outcome to the counts of recent attempts.
void count_attempt(endpoint_state& state, endpoint_verdict verdict,
                   endpoint_selector_options const& options, steady_time now);

/// Whether the counts justify an ejection.
bool is_outlier(endpoint_state const& state, endpoint_selector_options const& options);

/// Ejects the endpoint for a time that doubles with each ejection.
void eject(endpoint_state& state, endpoint_selector_options const& options, steady_time now);

/// Takes the endpoint back after a successful trial; its weight rises anew.
void end_ejection(endpoint_state& state, steady_time now);

} // namespace peridot
