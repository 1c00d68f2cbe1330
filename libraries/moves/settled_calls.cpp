#include "moves/settled_calls.h"

namespace peridot {

void settled_calls::add(wall_time now, std::uint64_t sent) {
    if (this->sent_by.empty() || this->sent_by.back().second != sent) {
        this->sent_by.emplace_back(now, sent);
    }
}

std::uint64_t settled_calls::count(wall_time until) {
    while (!this->sent_by.empty() && this->sent_by.front().first <= until) {
        this->settled = this->sent_by.front().second;
        this->sent_by.pop_front();
    }
    return this->settled;
}

} // namespace peridot
