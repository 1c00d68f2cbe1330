#pragma once

#include <cstddef>
#include <vector>

namespace peridot {

/// Spreads choices over options in proportion to their weights with the least deviation at any
/// time (smooth weighted round robin). A random choice would stray from the weights in short spans.
class weighted_round_robin {
public:
    /// The position of the option that is due. Weights may change between calls; options are told
    /// apart by their position.
    std::size_t next(std::vector<double> const& weights);

private:
    std::vector<double> credit;
};

} // namespace peridot
