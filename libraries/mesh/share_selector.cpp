#include "mesh/share_selector.h"

#include "mesh/mesh_route.h"
#include "mesh/weighted_round_robin.h"

#include <iterator>
#include <unordered_map>
#include <vector>

namespace peridot {

class share_selector::implementation {
public:
    std::unordered_map<std::string, weighted_round_robin> by_route;
    std::unordered_map<std::string, weighted_round_robin> by_service;
};

share_selector::share_selector() : self(std::make_unique<implementation>()) {}

share_selector::~share_selector() = default;

std::string const& share_selector::choose_service(mesh_route const& route) {
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<double> weights;
    for (auto const& entry : route.services) {
        weights.push_back(entry.weight);
    }
    return route.services[this->self->by_route[route.name].next(weights)].service;
}

std::string const& share_selector::choose_version(std::string const& service,
                                                  std::map<std::string, double> const& shares) {
    if (shares.size() == 1) {
        return shares.begin()->first;
    }
    std::vector<double> weights;
    for (auto const& [version, share] : shares) {
        weights.push_back(share);
    }
    auto const index = static_cast<std::ptrdiff_t>(this->self->by_service[service].next(weights));
    return std::next(shares.begin(), index)->first;
}

} // namespace peridot
