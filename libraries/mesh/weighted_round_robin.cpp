#include "mesh/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace peridot {

std::size_t weighted_round_robin::next(std::vector<double> const& weights) {
    if (this->credit.size() != weights.size()) {
        this->credit.assign(weights.size(), 0);
    }
    double const total = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t index = 0; index < weights.size(); ++index) {
        this->credit[index] += weights[index];
    }
    auto const selected = std::ranges::max_element(this->credit);
    if (selected == this->credit.end()) {
        return 0;
    }
    *selected -= total;
    return static_cast<std::size_t>(selected - this->credit.begin());
}

} // namespace peridot
