#include "http/byte_account.h"

#include "http/byte_draw.h"

#include <algorithm>
#include <utility>

namespace peridot::detail {

namespace {

// A body that has received nothing for this time counts as stalled. Clients that pause within a
// body for a retransmission or a busy processor resume sooner.
constexpr milliseconds stall_time{1000};
constexpr std::size_t small_body_bytes = std::size_t{64} * 1024;
constexpr std::size_t reserved_divisor = 8;

} // namespace

bool byte_account::make_room(byte_draw const& draw, std::size_t size, steady_time now) {
    if (!this->bound) {
        return true;
    }
    auto const usable =
        size <= small_body_bytes ? *this->bound : *this->bound - *this->bound / reserved_divisor;
    while (this->used - draw.size + size > usable) {
        auto* const victim = this->choose_victim(draw, size, now);
        if (victim == nullptr) {
            return false;
        }
        this->evict(*victim);
    }
    return true;
}

void byte_account::change_size(byte_draw& draw, std::size_t size) {
    this->used += size - draw.size;
    auto& total = this->by_address[draw.address];
    total += size - draw.size;
    if (total == 0) {
        this->by_address.erase(draw.address);
    }
    draw.size = size;
}

byte_draw* byte_account::choose_victim(byte_draw const& draw, std::size_t size,
                                       steady_time now) const {
    if (auto* const stalled = this->find_stalled(draw, now)) {
        return stalled;
    }
    auto const largest = std::ranges::max_element(this->by_address, {},
                                                  [](auto const& entry) { return entry.second; });
    auto const own = this->by_address.find(draw.address);
    auto const own_total = (own == this->by_address.end() ? 0 : own->second) - draw.size + size;
    if (largest == this->by_address.end() || largest->first == draw.address ||
        largest->second <= own_total) {
        return nullptr;
    }
    return this->find_largest_of(largest->first);
}

byte_draw* byte_account::find_stalled(byte_draw const& draw, steady_time now) const {
    byte_draw* found = nullptr;
    for (auto* const candidate : this->evictable) {
        if (candidate != &draw && candidate->size > 0 &&
            now - candidate->last_progress >= stall_time &&
            (found == nullptr || candidate->last_progress < found->last_progress)) {
            found = candidate;
        }
    }
    return found;
}

byte_draw* byte_account::find_largest_of(std::string const& address) const {
    byte_draw* found = nullptr;
    for (auto* const candidate : this->evictable) {
        if (candidate->address == address && candidate->size > 0 &&
            (found == nullptr || candidate->size > found->size)) {
            found = candidate;
        }
    }
    return found;
}

void byte_account::evict(byte_draw& victim) {
    this->change_size(victim, 0);
    this->evictable.erase(&victim);
    victim.is_evicted = true;
    if (this->report_refusal) {
        this->report_refusal(victim.address);
    }
    victim.evict();
}

} // namespace peridot::detail
