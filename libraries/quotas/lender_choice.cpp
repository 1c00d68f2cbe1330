#include "quotas/lender_choice.h"

#include <algorithm>

namespace peridot {

namespace {

bool is_suspected(lender_choice::suspicions const& suspected_until, std::string const& instance,
                  boot_time now) {
    auto const found = suspected_until.find(instance);
    return found != suspected_until.end() && found->second > now;
}

} // namespace

pool_candidate const* lender_choice::lender(suspicions const& suspected_until,
                                            boot_time now) const {
    auto const* preferred = this->first_choice(suspected_until, now);
    if (now >= this->delegated_until || is_suspected(suspected_until, this->delegated_to, now)) {
        return preferred;
    }
    auto const holder =
        std::ranges::find(this->order, this->delegated_to, &pool_candidate::instance);
    return holder == this->order.end() ? preferred : &*holder;
}

bool lender_choice::may_delegate(std::string_view instance, suspicions const& suspected_until,
                                 boot_time now) const {
    if (now >= this->delegated_until) {
        return true;
    }
    auto const* preferred = this->first_choice(suspected_until, now);
    return this->delegated_to == instance && preferred != nullptr &&
           preferred->instance == instance;
}

boot_time lender_choice::delegate(std::string_view instance, boot_time now) {
    this->delegated_to = instance;
    this->delegated_until = now + delegation_time + delegation_margin;
    return this->delegated_until;
}

boot_time lender_choice::assume_delegated(boot_time now) {
    return this->delegate({}, now);
}

// The first node of the order that is not suspected to be silent.
pool_candidate const* lender_choice::first_choice(suspicions const& suspected_until,
                                                  boot_time now) const {
    auto const found = std::ranges::find_if(this->order, [&](pool_candidate const& candidate) {
        return !is_suspected(suspected_until, candidate.instance, now);
    });
    return found == this->order.end() ? nullptr : &*found;
}

} // namespace peridot
