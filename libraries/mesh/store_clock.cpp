#include "mesh/store_clock.h"

#include <algorithm>

namespace peridot {

namespace {

// Offsets that differ by less belong to the same clock, read through responses of different delay.
constexpr milliseconds reading_tolerance{250};

} // namespace

void store_clock::observe(std::uint64_t era, milliseconds store_time, milliseconds now) {
    auto const offset = now - store_time;
    auto const [entry, is_new] = this->offsets.emplace(era, offset);
    entry->second = std::min(entry->second, offset);
}

std::optional<milliseconds> store_clock::time(milliseconds now) const {
    if (this->offsets.empty()) {
        return std::nullopt;
    }
    return now - this->offsets.rbegin()->second;
}

std::uint64_t store_clock::era() const {
    return this->offsets.empty() ? 0 : this->offsets.rbegin()->first;
}

milliseconds store_clock::convert(std::uint64_t from_era, milliseconds store_time) const {
    auto const before = this->offsets.find(from_era);
    if (before == this->offsets.end()) {
        return store_time;
    }
    auto const step = before->second - this->offsets.rbegin()->second;
    return std::chrono::abs(step) < reading_tolerance ? store_time : store_time + step;
}

} // namespace peridot
