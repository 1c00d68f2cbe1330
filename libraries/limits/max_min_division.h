#pragma once

#include <cstdint>
#include <vector>

namespace peridot {

/// One party that asks for a part of a total.
struct division_demand {
    double amount = 0.0;
    double weight = 1.0;
};

/// Weighted max-min division: nobody gets less than the demand while another gets more than its
/// weighted part. What no demand needs goes out in proportion to demand. The parts sum to the
/// total.
std::vector<double> divide(double total, std::vector<division_demand> const& demands);

/// The same in whole numbers. Parts that rounding leaves go to the largest fractions first, then
/// to the earlier party.
std::vector<std::uint32_t> divide_whole(std::uint32_t total,
                                        std::vector<division_demand> const& demands);

} // namespace peridot
