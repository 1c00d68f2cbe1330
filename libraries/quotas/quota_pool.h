#pragma once

#include "core/boot_clock.h"
#include "quotas/quota_grant.h"
#include "quotas/quota_terms.h"
#include "quotas/share_delegations.h"

#include <memory>
#include <string_view>

namespace peridot {

/// Lends tokens of many workspaces to nodes, as far as nodes have delegated their shares to it.
///
/// Answers demand of a workspace that is uneven over nodes and moves between them: a node lends
/// what is needed at the moment, request by request, instead of dividing the quota ahead of the
/// demand. The bound over all pools together holds without agreement between them, see
/// share_delegations.
///
/// Not thread-safe. The current time is passed as an argument and does not decrease.
class quota_pool {
public:
    quota_pool();
    ~quota_pool();
    quota_pool(quota_pool const&) = delete;
    quota_pool& operator=(quota_pool const&) = delete;
    quota_pool(quota_pool&&) = delete;
    quota_pool& operator=(quota_pool&&) = delete;

    /// Sets the quotas; workspaces without one are not lent for.
    void set_terms(quota_table const& terms);

    /// Sets the number of nodes that own a share of each quota.
    void set_node_count(unsigned count, boot_time now);

    /// Records that a node delegates its share of all quotas until the given time.
    void delegate(std::string_view instance, boot_time until, boot_time now);

    /// Lends at most the wanted number of tokens.
    quota_grant lend(quota_key workspace, unsigned wanted, boot_time now);

    /// The part of the quotas that is delegated to this pool, from 0 to 1.
    double share(boot_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
