#pragma once

#include "core/boot_clock.h"

#include <map>
#include <string>
#include <string_view>

namespace peridot {

/// The shares of the quotas that nodes have delegated to a pool.
///
/// Every node owns the same share of each quota, one part in the number of nodes, and delegates it
/// to one pool at a time for a limited time. What a pool may lend follows from the shares that it
/// held and for how long, so pools that do not know of each other never lend a share twice.
///
/// Not thread-safe. The current time is passed as an argument and does not decrease.
class share_delegations {
public:
    /// Sets the number of nodes that own a share.
    void set_node_count(unsigned count, boot_time now);

    /// Records that the node delegates its share until the given time.
    void delegate(std::string_view instance, boot_time until, boot_time now);

    bool is_delegated(std::string_view instance, boot_time now) const;

    /// Returns the part of the quotas that is delegated now, from 0 to 1.
    double share(boot_time now) const;

    /// Returns the integral of the share over the time, in seconds.
    double share_seconds(boot_time now);

private:
    void advance(boot_time now);

    unsigned node_count = 1;
    std::map<std::string, boot_time, std::less<>> until_by_instance;
    boot_time advanced_to;
    double accrued_seconds = 0;
};

} // namespace peridot
