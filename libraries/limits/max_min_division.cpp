#include "limits/max_min_division.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace peridot {

namespace {

std::vector<std::size_t> order_by(std::size_t count, auto const& is_before) {
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), is_before);
    return order;
}

void give_surplus(double surplus, std::vector<division_demand> const& demands,
                  std::vector<double>& parts) {
    double const sum = std::accumulate(parts.begin(), parts.end(), 0.0);
    double weights = 0.0;
    for (auto const& demand : demands) {
        weights += demand.weight;
    }
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index] +=
            sum > 0.0 ? surplus * parts[index] / sum : surplus * demands[index].weight / weights;
    }
}

} // namespace

std::vector<double> divide(double total, std::vector<division_demand> const& demands) {
    std::vector<double> parts(demands.size(), 0.0);
    auto const order = order_by(demands.size(), [&](std::size_t left, std::size_t right) {
        return demands[left].amount / demands[left].weight <
               demands[right].amount / demands[right].weight;
    });
    double rest = total;
    double weights = 0.0;
    for (auto const& demand : demands) {
        weights += demand.weight;
    }
    for (auto const index : order) {
        auto const& demand = demands[index];
        parts[index] = std::min(demand.amount, rest * demand.weight / weights);
        rest -= parts[index];
        weights -= demand.weight;
    }
    if (rest > 0.0 && !parts.empty()) {
        give_surplus(rest, demands, parts);
    }
    return parts;
}

std::vector<std::uint32_t> divide_whole(std::uint32_t total,
                                        std::vector<division_demand> const& demands) {
    auto const exact = divide(total, demands);
    std::vector<std::uint32_t> parts(exact.size());
    std::uint32_t given = 0;
    for (std::size_t index = 0; index < exact.size(); ++index) {
        parts[index] = static_cast<std::uint32_t>(std::floor(exact[index]));
        given += parts[index];
    }
    auto const order = order_by(exact.size(), [&](std::size_t left, std::size_t right) {
        return exact[left] - std::floor(exact[left]) > exact[right] - std::floor(exact[right]);
    });
    for (auto const index : order) {
        if (given >= total) {
            break;
        }
        ++parts[index];
        ++given;
    }
    return parts;
}

} // namespace peridot
