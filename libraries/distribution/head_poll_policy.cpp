#include "distribution/head_poll_policy.h"

#include <algorithm>
#include <bit>

namespace peridot {

namespace {

constexpr milliseconds watcher_period{250};
constexpr milliseconds shortest_bound{2000};
// A probe a second in each direction spreads a confirmation to about three times as many members.
constexpr milliseconds bound_per_doubling{800};
// A fleet whose watchers are all gone reads over this time.
constexpr milliseconds stale_read_spread{4000};
constexpr milliseconds first_backoff{250};
constexpr milliseconds longest_watcher_backoff{5000};
// 860 nodes that wait 15 s on average read 57 times a second during a long outage.
constexpr milliseconds longest_backoff{30'000};
constexpr unsigned most_doublings = 16;

milliseconds backoff_bound(unsigned failures, bool is_watcher) {
    if (failures == 0) {
        return milliseconds(0);
    }
    auto const longest = is_watcher ? longest_watcher_backoff : longest_backoff;
    return std::min(longest, first_backoff * (1U << std::min(failures - 1, most_doublings)));
}

} // namespace

milliseconds head_poll_policy::confirmation_bound(std::size_t members) {
    return shortest_bound + bound_per_doubling * std::bit_width(members);
}

bool head_poll_policy::is_due(head_poll_situation const& situation, steady_time now,
                              random_source& random) {
    auto const bound = backoff_bound(this->failures, situation.is_watcher);
    auto const delay = std::chrono::duration<double, std::milli>(bound) * this->jitter;
    if (this->failures > 0 && now - this->failed_at < delay) {
        return false;
    }
    if (situation.is_watcher || this->next_read == steady_time()) {
        this->stale_read.reset();
        return now >= this->next_read;
    }
    if (situation.confirmation_age &&
        *situation.confirmation_age <= confirmation_bound(situation.members)) {
        this->stale_read.reset();
        return false;
    }
    if (!this->stale_read) {
        std::uniform_int_distribution<std::int64_t> spread(0, stale_read_spread.count());
        this->stale_read = now + milliseconds(spread(random));
    }
    return now >= *this->stale_read;
}

void head_poll_policy::record_success(steady_time now) {
    this->next_read = now + watcher_period;
    this->stale_read.reset();
    this->failures = 0;
}

void head_poll_policy::record_failure(steady_time now, random_source& random) {
    this->next_read = now + watcher_period;
    this->failed_at = now;
    ++this->failures;
    this->jitter = std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace peridot
