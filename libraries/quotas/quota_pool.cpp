#include "quotas/quota_pool.h"

#include "quotas/quota_bucket.h"

#include <unordered_map>

namespace peridot {

namespace {

// A pool lends whole tokens, so it must be able to hold one.
constexpr double min_capacity = 1.0;
// Rounds the time to wait up, so that it is not told as zero.
constexpr milliseconds min_retry_after{1};

} // namespace

class quota_pool::implementation {
public:
    void refill_all(boot_time now) {
        double const share_seconds = this->delegations.share_seconds(now);
        double const share = this->delegations.share(now);
        // Buckets start with the shares and not with the first request, which would be refused.
        for (auto const& [workspace, own_terms] : this->terms) {
            this->buckets.try_emplace(workspace, quota_bucket(own_terms, share_seconds))
                .first->second.refill(share_seconds, share, min_capacity);
        }
    }

    quota_table terms;
    share_delegations delegations;
    std::unordered_map<quota_key, quota_bucket> buckets;
};

quota_pool::quota_pool() : self(std::make_unique<implementation>()) {}

quota_pool::~quota_pool() = default;

void quota_pool::set_terms(quota_table const& terms) {
    this->self->terms = terms;
    std::erase_if(this->self->buckets,
                  [&](auto const& entry) { return !terms.contains(entry.first); });
    for (auto& [workspace, bucket] : this->self->buckets) {
        bucket.set_terms(terms.at(workspace));
    }
}

void quota_pool::set_node_count(unsigned count, boot_time now) {
    this->self->delegations.set_node_count(count, now);
}

void quota_pool::delegate(std::string_view instance, boot_time until, boot_time now) {
    auto& impl = *this->self;
    if (!impl.delegations.is_delegated(instance, now)) {
        // Tokens of shares that have ended since the last request must not outlive them until
        // others replace them: the pool that held these meanwhile has lent their burst.
        impl.refill_all(now);
    }
    impl.delegations.delegate(instance, until, now);
}

quota_grant quota_pool::lend(quota_key workspace, unsigned wanted, boot_time now) {
    auto& impl = *this->self;
    auto const terms = impl.terms.find(workspace);
    if (terms == impl.terms.end()) {
        return {};
    }
    double const share_seconds = impl.delegations.share_seconds(now);
    double const share = impl.delegations.share(now);
    auto& bucket = impl.buckets.try_emplace(workspace, terms->second).first->second;
    bucket.refill(share_seconds, share, min_capacity);
    quota_grant grant;
    grant.tokens = bucket.take(wanted);
    if (grant.tokens == 0 && wanted > 0) {
        grant.retry_after = std::chrono::ceil<milliseconds>(bucket.defer(share)) + min_retry_after;
    }
    return grant;
}

double quota_pool::share(boot_time now) const {
    return this->self->delegations.share(now);
}

} // namespace peridot
