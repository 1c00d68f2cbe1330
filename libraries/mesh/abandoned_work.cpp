#include "mesh/abandoned_work.h"

#include "core/time.h"

#include <algorithm>

namespace peridot {

namespace {

// After this time without a further refusal, the gate tries whether the target still goes on with
// the work of callers that leave. A refusal may have had another cause, such as a rate limit.
constexpr seconds presumption_time{10};

} // namespace

void abandoned_work::add(boot_time expected_end, boot_time now) {
    this->ends.erase(this->ends.begin(), std::ranges::upper_bound(this->ends, now));
    this->ends.insert(std::ranges::upper_bound(this->ends, expected_end), expected_end);
}

void abandoned_work::observe_refusal(boot_time now) {
    bool const may_be_running = !this->ends.empty() && this->ends.back() > now;
    if (may_be_running) {
        this->presumed_until = now + presumption_time;
    }
}

std::size_t abandoned_work::held_slots(boot_time now) const {
    if (now >= this->presumed_until) {
        return 0;
    }
    return static_cast<std::size_t>(this->ends.end() - std::ranges::upper_bound(this->ends, now));
}

std::vector<boot_time> abandoned_work::expected_ends(boot_time now) const {
    auto const held = static_cast<std::ptrdiff_t>(this->held_slots(now));
    return {this->ends.end() - held, this->ends.end()};
}

} // namespace peridot
