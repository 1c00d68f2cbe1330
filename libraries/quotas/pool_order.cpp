#include "quotas/pool_order.h"

#include "core/digest.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peridot {

std::vector<pool_candidate> pool_order(std::vector<pool_candidate> candidates, std::uint32_t pool) {
    // The hash of each candidate is computed once, not at each comparison.
    using rank = std::pair<double, std::uint64_t>;
    std::vector<std::pair<rank, std::size_t>> ranks;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const& candidate = candidates[index];
        ranks.push_back(
            {{-candidate.processor_share, fingerprint(candidate.instance, pool)}, index});
    }
    std::ranges::sort(ranks);
    std::vector<pool_candidate> order;
    for (auto const& [rank_of, index] : ranks) {
        order.push_back(std::move(candidates[index]));
    }
    return order;
}

} // namespace peridot
