#include "routing/retry_budget.h"

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace peridot {

namespace {

/// The balance is stored in units of 1/1000 retry, so that it fits an atomic integer.
constexpr std::int64_t units_per_retry = 1000;

} // namespace

struct retry_budget::implementation {
    std::int64_t earned_per_request = 0;
    std::int64_t capacity = 0;
    std::atomic<std::int64_t> units{0};
};

retry_budget::retry_budget(retry_budget_options const& options)
    : self(std::make_unique<implementation>()) {
    this->self->earned_per_request = static_cast<std::int64_t>(options.ratio * units_per_retry);
    this->self->capacity = static_cast<std::int64_t>(options.capacity * units_per_retry);
    this->self->units = this->self->capacity;
}

retry_budget::~retry_budget() = default;

void retry_budget::record_request() {
    auto available = this->self->units.load(std::memory_order_relaxed);
    while (available < this->self->capacity) {
        auto const next =
            std::min(available + this->self->earned_per_request, this->self->capacity);
        if (this->self->units.compare_exchange_weak(available, next, std::memory_order_relaxed)) {
            return;
        }
    }
}

bool retry_budget::try_take(double remaining) {
    auto const required = units_per_retry + static_cast<std::int64_t>(remaining * units_per_retry);
    auto available = this->self->units.load(std::memory_order_relaxed);
    while (available >= required) {
        if (this->self->units.compare_exchange_weak(available, available - units_per_retry,
                                                    std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

double retry_budget::balance() const {
    auto const available = this->self->units.load(std::memory_order_relaxed);
    return static_cast<double>(available) / units_per_retry;
}

nanoseconds retry_backoff(unsigned retry, retry_backoff_options const& options,
                          random_source& random) {
    constexpr unsigned max_doublings = 20;
    unsigned const doublings = std::min(retry == 0 ? 0U : retry - 1, max_doublings);
    nanoseconds const bound = std::min<nanoseconds>(
        options.base_delay * (std::int64_t{1} << doublings), options.max_delay);
    std::uniform_int_distribution<std::int64_t> draw(0, bound.count());
    return nanoseconds(draw(random));
}

} // namespace peridot
