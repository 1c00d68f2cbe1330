#include "quotas/pool_order.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace peridot {

std::vector<pool_candidate> pool_order(std::vector<pool_candidate> candidates, std::uint32_t pool) {
    std::ranges::sort(candidates, {}, [pool](pool_candidate const& candidate) {
        return std::pair(-candidate.processor_share, fingerprint(candidate.instance, pool));
    });
    return candidates;
}

} // namespace peridot
