#include "sidecar/recent_ids.h"

namespace peridot {

namespace {

// Longer than any request waits, and bounded in number against a flood.
constexpr seconds remembered_time{120};
constexpr std::size_t remembered_ids = 50'000;

} // namespace

bool recent_ids::insert(std::string const& id, boot_time now) {
    while (!this->order.empty() && (now - this->order.front().first > remembered_time ||
                                    this->order.size() >= remembered_ids)) {
        this->known.erase(this->order.front().second);
        this->order.pop_front();
    }
    if (!this->known.insert(id).second) {
        return false;
    }
    this->order.emplace_back(now, id);
    return true;
}

} // namespace peridot
