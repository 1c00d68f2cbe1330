#include "quotas/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Limits the time that a request is told to wait while next to nothing accrues.
constexpr std::chrono::duration<double> max_wait{5.0};

} // namespace

quota_bucket::quota_bucket(quota_terms const& terms, double share_seconds)
    : terms(terms), accrued_to(share_seconds) {}

void quota_bucket::refill(double share_seconds, double share, double min_capacity) {
    double const accrued = (share_seconds - this->accrued_to) * this->terms.rate_per_second;
    this->accrued_to = share_seconds;
    double const capacity = std::max(this->terms.burst * share, min_capacity);
    this->tokens = std::min(this->tokens + accrued, capacity);
    this->deferred = std::max(0.0, this->deferred - accrued);
}

unsigned quota_bucket::take(unsigned wanted) {
    auto const taken = std::min(wanted, static_cast<unsigned>(std::max(0.0, this->tokens)));
    this->tokens -= taken;
    return taken;
}

nanoseconds quota_bucket::defer(double share) {
    this->deferred += 1;
    double const missing = std::max(0.0, this->deferred - this->tokens);
    double const rate = this->terms.rate_per_second * share;
    std::chrono::duration<double> const wait(rate > 0 ? missing / rate : max_wait.count());
    return std::chrono::duration_cast<nanoseconds>(std::min(wait, max_wait));
}

} // namespace peridot
