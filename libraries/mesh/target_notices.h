#pragma once

#include "mesh/target_notice.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace peridot {

struct target_record;

/// What targets have stated in the responses that passed through this node.
///
/// The node beside a target forgets a notice when it restarts, but is bound by it; the nodes that
/// sent the requests still have it. Not thread-safe.
class target_notices {
public:
    /// Replaces the notice of the target's process.
    void observe(target_record const& target, target_notice const& notice);

    /// Returns the last notice of the target's process.
    target_notice find(target_record const& target) const;

private:
    /// Id and start time of the process; a restarted target may keep its id.
    using process_key = std::pair<std::string, std::int64_t>;

    std::map<process_key, target_notice> notices;
};

} // namespace peridot
