#include "admission/concurrency_limit.h"

#include <algorithm>

namespace peridot {

struct concurrency_limit::implementation {
    concurrency_limit_options options;
    double limit = 1.0;
    double baseline = 0.0;
    double mean = 0.0;
    std::size_t pending = 0;
    double pending_sum = 0.0;

    double minimum_limit() const {
        return std::max(1.0, this->options.minimum_slot_fraction *
                                 static_cast<double>(this->options.slots));
    }
};

concurrency_limit::concurrency_limit(concurrency_limit_options const& options)
    : self(std::make_unique<implementation>()) {
    this->self->options = options;
    this->self->limit = static_cast<double>(std::max<std::size_t>(1, options.slots));
}

concurrency_limit::~concurrency_limit() = default;

void concurrency_limit::record_window(std::size_t completions, nanoseconds mean) {
    auto& state = *this->self;
    state.pending += completions;
    state.pending_sum += static_cast<double>(completions) * static_cast<double>(mean.count());
    if (state.pending < state.options.minimum_completions) {
        return;
    }
    state.mean = state.pending_sum / static_cast<double>(state.pending);
    state.pending = 0;
    state.pending_sum = 0.0;
    double const raised_baseline = state.baseline * (1.0 + state.options.baseline_growth);
    state.baseline = state.baseline == 0.0 ? state.mean : std::min(raised_baseline, state.mean);
    double const latency_threshold = state.baseline * state.options.tolerance;
    double const maximum_limit = static_cast<double>(std::max<std::size_t>(1, state.options.slots));
    double const next_limit = state.mean > latency_threshold
                                  ? state.limit * std::max(0.5, latency_threshold / state.mean)
                                  : state.limit + 1.0;
    state.limit =
        std::clamp(next_limit, std::min(state.minimum_limit(), maximum_limit), maximum_limit);
}

std::size_t concurrency_limit::limit() const {
    return static_cast<std::size_t>(this->self->limit);
}

nanoseconds concurrency_limit::mean_service_time() const {
    return nanoseconds(static_cast<std::int64_t>(this->self->mean));
}

} // namespace peridot
