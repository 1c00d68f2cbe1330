#include "sidecar/recent_ids.h"

namespace peridot {

namespace {

// Longer than any request waits. The number of ids is limited to bound the memory use under a flood
// of requests.
constexpr seconds retention_time{120};
constexpr std::size_t max_ids = 50'000;

} // namespace

bool recent_ids::insert(std::string const& id, boot_time now) {
    while (!this->arrivals.empty() && (now - this->arrivals.front().first > retention_time ||
                                       this->arrivals.size() >= max_ids)) {
        this->ids.erase(this->arrivals.front().second);
        this->arrivals.pop_front();
    }
    if (!this->ids.insert(id).second) {
        return false;
    }
    this->arrivals.emplace_back(now, id);
    return true;
}

} // namespace peridot
