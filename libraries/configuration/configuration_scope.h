#pragma once

#include <set>
#include <string>

namespace peridot {

/// The services whose configuration a node holds. An empty set stands for all services.
struct configuration_scope {
    std::set<std::string> services;

    bool covers(std::string const& service) const {
        return this->services.empty() || this->services.contains(service);
    }
};

} // namespace peridot
