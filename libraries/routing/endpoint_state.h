#pragma once

#include "core/time.h"
#include "membership/endpoint_directory.h"
#include "routing/attempt_observation.h"
#include "routing/endpoint_selector_options.h"

#include <cstdint>

namespace peridot {

/// State that one worker keeps for one incarnation of an endpoint. Internal to endpoint_selector.
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
    /// Whether the endpoint is ejected. Remains set until a probe request succeeds.
    bool is_ejected = false;
    bool is_probe_in_flight = false;
};

/// Returns the endpoint's weight, which rises from min_weight to 1 during slow start. Slow start
/// begins when the endpoint is added and when its ejection ends.
double weight_of(endpoint_state const& state, endpoint_selector_options const& options,
                 steady_time now);

/// Returns the last reported pressure, decayed exponentially with its age.
double pressure_of(endpoint_state const& state, endpoint_selector_options const& options,
                   steady_time now);

/// Returns the expected cost of one more call, used to compare two endpoints.
double cost_of(endpoint_state const& state, endpoint_selector_options const& options,
               steady_time now);

/// Whether the endpoint may be chosen: it is not ejected, or it is due for a single probe request.
bool is_available(endpoint_state const& state, steady_time now);

/// Adds an outcome to the decayed counts of recent attempts and failures.
void count_attempt(endpoint_state& state, endpoint_verdict verdict,
                   endpoint_selector_options const& options, steady_time now);

/// Whether the failure counts exceed one of the ejection thresholds.
bool is_outlier(endpoint_state const& state, endpoint_selector_options const& options);

/// Ejects the endpoint. The ejection time doubles with each ejection, up to max_ejection_time.
void eject(endpoint_state& state, endpoint_selector_options const& options, steady_time now);

/// Ends the ejection after a successful probe, resets the failure counts and restarts slow start.
void end_ejection(endpoint_state& state, steady_time now);

} // namespace peridot
