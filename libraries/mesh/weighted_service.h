#pragma once

#include <string>

namespace peridot {

/// A service that gets a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;

    bool operator==(weighted_service const&) const = default;
};

} // namespace peridot
