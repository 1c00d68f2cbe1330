#pragma once

#include "core/time.h"
#include "quotas/quota_terms.h"

namespace peridot {

/// Tokens of one workspace that accrue with a share of its quota.
///
/// The share may change and the time for which it is held may have gaps, so accrual is measured in
/// seconds of the whole quota.
class quota_bucket {
public:
    /// Starts empty at the given sum of share seconds, since a predecessor may have lent the burst
    /// already.
    explicit quota_bucket(quota_terms const& terms, double share_seconds = 0);

    void set_terms(quota_terms const& changed) { this->terms = changed; }

    /// Accrues up to the given sum of share seconds. The bucket holds the part of the burst that
    /// corresponds to the share, but at least `min_capacity` tokens.
    void refill(double share_seconds, double share, double min_capacity);

    /// Takes whole tokens, at most the wanted number, and returns how many.
    unsigned take(unsigned wanted);

    /// Counts a request that got no token, and returns when one will be there for it, if those that
    /// were refused before it come back first.
    nanoseconds defer(double share);

private:
    quota_terms terms;
    double accrued_to;
    double tokens = 0;
    /// Requests that were told to come back and for which no token has accrued yet.
    double deferred = 0;
};

} // namespace peridot
