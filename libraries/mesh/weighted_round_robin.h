#pragma once

#include <cstddef>
#include <vector>

namespace peridot {

/// Smooth weighted round robin: selects options in proportion to their weights, with the least
/// deviation over any number of selections. A random selection would deviate from the weights over
/// short periods.
class weighted_round_robin {
public:
    /// Returns the index of the next option. Weights may change between calls; options are
    /// identified by their index.
    std::size_t next(std::vector<double> const& weights);

private:
    std::vector<double> credit;
};

} // namespace peridot
