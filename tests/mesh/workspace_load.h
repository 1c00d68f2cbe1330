#pragma once

#include "arrival_stream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace peridot {

/// Requests of several workspaces on several routes, and how many of them were served. The demand
/// of the workspaces falls off steeply.
class workspace_load {
public:
    static constexpr int workspaces = 6;

    static std::string workspace_name(int index);

    /// Adds a stream for each workspace; the one of the largest has the given gap.
    void add_route(std::string const& route, unsigned priority, milliseconds gap);

    /// Adds a stream of calls that accepted requests make.
    arrival_stream& add_internal_calls(milliseconds gap);

    std::vector<arrival_stream*> sources();

    void for_each(std::function<void(arrival_stream&)> const& change);

    void for_workspace(std::string const& workspace,
                       std::function<void(arrival_stream&)> const& change);

    void reset_counts();

    using condition = std::function<bool(arrival_stream const&)>;

    /// Fraction of the requests that were answered.
    double served(condition const& includes) const;
    double all_served() const;
    double workspace_served(std::string const& workspace) const;
    double route_served(std::string const& route) const;

    /// Smallest fraction of a workspace or route in relation to that of all.
    double lowest_relative_fraction() const;

    /// By how much a less urgent route was served more often than a more urgent one, at most.
    double urgency_gap() const;

private:
    // The streams are referred to by simulations, so they stay where they are.
    std::deque<arrival_stream> streams;
};

} // namespace peridot
