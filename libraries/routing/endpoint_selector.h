#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "core/time.h"
#include "membership/endpoint_directory.h"
#include "routing/attempt_observation.h"
#include "routing/endpoint_selector_options.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

/// Chooses endpoints of one (service, target version) on one worker. Uses the power of two random
/// choices, comparing this worker's requests in flight and the pressure reported in the last
/// answers. Selection depends on the worker's own observations; announced health only determines
/// which endpoints the directory lists. State is kept per instance and incarnation.
class endpoint_selector {
public:
    using member_pointer = endpoint_directory::member_pointer;
    using member_list = endpoint_directory::member_list;

    /// Creates a selector for a node in the given availability zone.
    endpoint_selector(std::string availability_zone, endpoint_selector_options const& options);
    ~endpoint_selector();
    endpoint_selector(endpoint_selector const&) = delete;
    endpoint_selector& operator=(endpoint_selector const&) = delete;
    endpoint_selector(endpoint_selector&&) noexcept;
    endpoint_selector& operator=(endpoint_selector&&) noexcept;

    /// Sets the serving endpoints and this node's subset of them (see choose_subset). Discards the
    /// state of removed endpoints; new endpoints begin in slow start.
    void update(member_list const& endpoints, member_list const& subset, steady_time now);

    /// Returns an endpoint that the request has not tried yet, or request_no_endpoint. Endpoints
    /// outside the subset are used only when the subset has no candidate, and ejected endpoints
    /// only when no other candidate exists.
    result<member_pointer> choose(std::vector<member_pointer> const& tried, steady_time now,
                                  random_source& random) const;

    /// Counts an attempt as in flight. Each call must be followed by exactly one call to finish.
    void begin(member_record const& endpoint, steady_time now);

    /// Ends an attempt and records its observation. Does nothing for removed endpoints.
    void finish(member_record const& endpoint, attempt_observation const& observation,
                steady_time now);

    /// Sets the pressure of an endpoint that was reported other than in an answer.
    void set_pressure(member_record const& endpoint, unsigned pressure, steady_time now);

    /// Returns the number of endpoints that are currently ejected because of observed failures.
    std::size_t ejected_count(steady_time now) const;

    /// Returns the number of attempts in flight to the endpoint, or 0 if it is unknown.
    std::size_t in_flight(member_record const& endpoint) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
