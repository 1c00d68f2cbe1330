#pragma once

#include "core/boot_clock.h"
#include "quotas/quota_terms.h"

#include <memory>
#include <optional>

namespace peridot {

/// The tokens that a node holds for each workspace: those that a pool has lent it, and the node's
/// own share of the quotas while it is not delegated.
///
/// Lent tokens expire, so that no more of them are outstanding than a short time of the quota. Not
/// thread-safe. The current time is passed as an argument and does not decrease.
class quota_account {
public:
    quota_account();
    ~quota_account();
    quota_account(quota_account const&) = delete;
    quota_account& operator=(quota_account const&) = delete;
    quota_account(quota_account&&) = delete;
    quota_account& operator=(quota_account&&) = delete;

    void set_terms(quota_table const& terms);

    /// Sets the number of nodes that own a share of each quota.
    void set_node_count(unsigned count, boot_time now);

    /// The node's own share must not be used before the given time.
    void set_delegated_until(boot_time until, boot_time now);

    bool has_quota(quota_key workspace) const;

    /// Counts a request of the workspace for the estimate of its demand.
    void record_demand(quota_key workspace, boot_time now);

    /// Takes one token; returns when it would have expired, or no value if there is none.
    std::optional<boot_time> try_take(quota_key workspace, boot_time now);

    /// Returns a token whose request did not reach a target.
    void give_back(quota_key workspace, boot_time expires, boot_time now);

    /// Adds tokens that a pool has lent until the given time.
    void add(quota_key workspace, unsigned tokens, boot_time expires);

    /// Number of tokens to borrow beside those for waiting requests: the demand of the next moment
    /// as far as it is not covered.
    unsigned expected_need(quota_key workspace, boot_time now);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
