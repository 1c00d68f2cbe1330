#include "quotas/share_delegations.h"

#include <algorithm>

namespace peridot {

void share_delegations::set_node_count(unsigned count, boot_time now) {
    this->advance(now);
    this->node_count = std::max(1U, count);
}

void share_delegations::delegate(std::string_view instance, boot_time until, boot_time now) {
    this->advance(now);
    auto const found = this->until_by_instance.find(instance);
    if (found == this->until_by_instance.end()) {
        this->until_by_instance.emplace(instance, until);
        return;
    }
    found->second = std::max(found->second, until);
}

bool share_delegations::is_delegated(std::string_view instance, boot_time now) const {
    auto const found = this->until_by_instance.find(instance);
    return found != this->until_by_instance.end() && found->second > now;
}

double share_delegations::share(boot_time now) const {
    auto const live = std::ranges::count_if(
        this->until_by_instance, [now](auto const& entry) { return entry.second > now; });
    return std::min(1.0, static_cast<double>(live) / this->node_count);
}

double share_delegations::share_seconds(boot_time now) {
    this->advance(now);
    return this->accrued_seconds;
}

// Each share counts up to its own end, also if this process was suspended meanwhile.
void share_delegations::advance(boot_time now) {
    std::chrono::duration<double> held{0};
    for (auto const& [instance, until] : this->until_by_instance) {
        held += std::max(boot_clock::duration(0), std::min(now, until) - this->advanced_to);
    }
    std::chrono::duration<double> const elapsed = now - this->advanced_to;
    this->accrued_seconds += std::min(held.count() / this->node_count, elapsed.count());
    this->advanced_to = now;
    std::erase_if(this->until_by_instance,
                  [now](auto const& entry) { return entry.second <= now; });
}

} // namespace peridot
