#pragma once

#include "core/boot_clock.h"
#include "quotas/pool_order.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

/// How long a delegation counts at the node that receives it. At the node that has sent it, it
/// counts for the margin longer, which covers the time for which a datagram may be under way.
inline constexpr milliseconds delegation_time{600};
inline constexpr milliseconds delegation_margin{150};

/// Chooses the node that one pool is asked at, and when the share of this node may move to another.
///
/// Answers nodes that fall silent and come back: a share that is delegated must not be delegated
/// again before its end, so a node that turned to another lender at once would find no tokens there
/// until then. Not thread-safe. The current time is passed as an argument and does not decrease.
class lender_choice {
public:
    /// Maps nodes that have not answered to the time until which they are not asked.
    using suspicions = std::map<std::string, boot_time>;

    /// Sets the candidates in the order in which they are asked.
    void set_order(std::vector<pool_candidate> candidates) { this->order = std::move(candidates); }

    /// The node to ask now, or null if there is none: the one that holds the share, or else the
    /// first one that is not suspected to be silent. The pointer is valid until the order changes.
    pool_candidate const* lender(suspicions const& suspected_until, boot_time now) const;

    /// Whether the share may be delegated to the node now. While another node precedes the one that
    /// holds the share, the delegation is left to end.
    bool may_delegate(std::string_view instance, suspicions const& suspected_until,
                      boot_time now) const;

    /// Records that the share is delegated to the node from now on; returns until when.
    boot_time delegate(std::string_view instance, boot_time now);

    /// An earlier process of this node may have delegated its share shortly before now.
    boot_time assume_delegated(boot_time now);

private:
    pool_candidate const* first_choice(suspicions const& suspected_until, boot_time now) const;

    std::vector<pool_candidate> order;
    std::string delegated_to;
    boot_time delegated_until;
};

} // namespace peridot
