#pragma once

#include "mesh/rollout.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/// The latest roll-out of each service, of which the store may have lost the order or the progress.
///
/// An order is identified by the position at which it was found first. The same order is found
/// again at another position when the store comes back from a copy, and when the operator writes it
/// again. Its progress does not go back then: a roll-out that is complete or rolled back stays so,
/// and a running one keeps its step.
class rollout_history {
public:
    /// An order of the operator, and the progress that the nodes have recorded for its service. The
    /// progress may belong to another order.
    struct stored_rollout {
        rollout ordered;
        std::optional<rollout> recorded;
    };

    /// Takes all orders that the store holds as of an era, and returns the latest roll-outs.
    std::map<std::string, rollout, std::less<>> update(std::vector<stored_rollout> const& stored,
                                                       std::uint64_t era);

private:
    rollout resolve(stored_rollout const& stored) const;

    std::map<std::string, rollout, std::less<>> latest;
};

} // namespace peridot
