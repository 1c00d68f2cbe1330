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

/// Chooses endpoints of one (service, target version) on one worker. Two random choices are
/// compared by own work in flight and by the pressure on their last answers. What the worker
/// observes decides; announced health only decides which endpoints the directory lists. State is
/// kept per instance and incarnation.
class endpoint_selector {
public:
    using member_pointer = endpoint_directory::member_pointer;
    using member_list = endpoint_directory::member_list;

    /// The availability zone is that of this node.
    endpoint_selector(std::string availability_zone, endpoint_selector_options const& options);
    ~endpoint_selector();
    endpoint_selector(endpoint_selector const&) = delete;
    endpoint_selector& operator=(endpoint_selector const&) = delete;
    endpoint_selector(endpoint_selector&&) noexcept;
    endpoint_selector& operator=(endpoint_selector&&) noexcept;

    /// Takes the serving endpoints and this node's subset of them (choose_subset). State of
    /// endpoints that are gone is dropped; a new one starts slowly.
    void update(member_list const& endpoints, member_list const& subset, steady_time now);

    /// An endpoint that the request has not tried, or request_no_endpoint. Endpoints outside the
    /// subset serve only when the subset has none left; ejected ones only when nothing else is.
    result<member_pointer> choose(std::vector<member_pointer> const& tried, steady_time now,
                                  random_source& random) const;

    /// Counts an attempt as in flight. Each begin is followed by one finish.
    void begin(member_record const& endpoint, steady_time now);

    /// Ends an attempt and takes what it showed. Ignored for endpoints that are gone.
    void finish(member_record const& endpoint, attempt_observation const& observation,
                steady_time now);

    /// Sets the pressure of an endpoint from another source than an answer.
    void set_pressure(member_record const& endpoint, unsigned pressure, steady_time now);

    /// Endpoints that get no work now because of observed failures.
    std::size_t ejected_count(steady_time now) const;

    /// Attempts in flight to the endpoint; 0 when it is unknown.
    std::size_t in_flight(member_record const& endpoint) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
