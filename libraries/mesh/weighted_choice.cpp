#include "mesh/weighted_choice.h"

#include <algorithm>
#include <numeric>

namespace peridot {

std::size_t weighted_choice::next(std::vector<double> const& weights) {
    if (this->credit.size() != weights.size()) {
        this->credit.assign(weights.size(), 0);
    }
    double const total = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t index = 0; index < weights.size(); ++index) {
        this->credit[index] += weights[index];
    }
    auto const due = std::ranges::max_element(this->credit);
    if (due == this->credit.end()) {
        return 0;
    }
    *due -= total;
    return static_cast<std::size_t>(due - this->credit.begin());
}

} // namespace peridot
