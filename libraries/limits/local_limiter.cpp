#include "limits/local_limiter.h"

#include "core/digest.h"
#include "limits/token_bucket.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>

namespace peridot {

namespace {

constexpr double nanoseconds_per_second = 1e9;

/// What a node may use in one phase of its lease.
struct phase_bounds {
    double rate = 0.0;
    double burst = 1.0;
    std::uint32_t concurrency = 0;
};

/// The same for the workers to read while the control thread changes it. A worker may combine
/// old and new values for one request.
struct shared_bounds {
    std::atomic<std::int64_t> interval{0};
    std::atomic<double> burst{1.0};
    std::atomic<std::uint32_t> concurrency{0};

    void store(phase_bounds const& bounds) {
        auto const time = bounds.rate > 0.0 ? nanoseconds_per_second / bounds.rate : 0.0;
        this->interval = static_cast<std::int64_t>(time);
        this->burst = std::max(1.0, bounds.burst);
        this->concurrency = bounds.concurrency;
    }

    bucket_bounds bucket() const {
        return {nanoseconds(this->interval.load(std::memory_order_relaxed)),
                this->burst.load(std::memory_order_relaxed)};
    }
};

enum phase : std::uint8_t { leased, grace, fallback };

std::int64_t ticks(steady_time time) {
    return std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count();
}

} // namespace

struct local_limiter::implementation {
    // Shared by all threads.
    std::array<shared_bounds, 3> phases;
    std::atomic<std::int64_t> lease_end{0};
    std::atomic<std::int64_t> grace_end{0};
    token_bucket bucket;
    std::atomic<std::uint32_t> in_use{0};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint32_t> refused_for_concurrency{0};
    std::atomic<std::uint32_t> most_in_use{0};
    std::atomic<double> demand_rate{0.0};

    // Used by the control thread only.
    limit_key key = 0;
    limit_quota quota;
    fleet_view fleet;
    local_limiter_options options;
    std::optional<limit_share> share;
    std::uint64_t divider = 0;
    double concurrency_peak = 0.0;
    std::uint32_t demand_concurrency = 0;
    std::optional<steady_time> measured;
    std::optional<limit_demand> reported;
    steady_time reported_at;

    phase phase_at(steady_time now) const;
    void note_in_use(std::uint32_t count);
    void store_phases();
    milliseconds lease_left(steady_time now) const;
    bool has_demand_changed() const;
    bool is_smaller_share_unreported() const;
};

phase local_limiter::implementation::phase_at(steady_time now) const {
    auto const time = ticks(now);
    if (time < this->lease_end.load(std::memory_order_acquire)) {
        return leased;
    }
    return time < this->grace_end.load(std::memory_order_acquire) ? grace : fallback;
}

void local_limiter::implementation::note_in_use(std::uint32_t count) {
    auto seen = this->most_in_use.load(std::memory_order_relaxed);
    while (seen < count &&
           !this->most_in_use.compare_exchange_weak(seen, count, std::memory_order_relaxed)) {
    }
}

/// The fallback is an equal part of the limit, and at least one request at a time, so that an
/// idle node can start.
void local_limiter::implementation::store_phases() {
    double const known = std::max(1U, this->fleet.known);
    phase_bounds const equal{this->quota.rate_per_second / known, this->quota.burst / known,
                             std::max(this->quota.concurrency > 0 ? 1U : 0U,
                                      static_cast<std::uint32_t>(this->quota.concurrency / known))};
    this->phases[fallback].store(equal);
    if (!this->share) {
        return;
    }
    this->phases[leased].store({this->share->rate, this->share->burst, this->share->concurrency});
    constexpr double half = 0.5;
    this->phases[grace].store({std::max(equal.rate, this->share->rate * half),
                               std::max(equal.burst, this->share->burst * half),
                               std::max(equal.concurrency, this->share->concurrency / 2)});
}

milliseconds local_limiter::implementation::lease_left(steady_time now) const {
    auto const left = nanoseconds(this->lease_end.load() - ticks(now));
    return std::max(milliseconds::zero(), std::chrono::floor<milliseconds>(left));
}

bool local_limiter::implementation::has_demand_changed() const {
    double const before = this->reported->rate;
    double const now = this->demand_rate.load();
    double const factor = this->options.report_factor;
    bool const has_rate_changed = std::abs(now - before) > this->options.least_change &&
                                  (now > before * factor || now < before / factor);
    // Every node that reports has one place anyway, so only more than that is worth a report.
    constexpr double least_places = 2.0;
    double const slots_before = this->reported->concurrency;
    double const slots = this->demand_concurrency;
    bool const has_concurrency_changed =
        std::abs(slots - slots_before) >= least_places &&
        (slots > slots_before * factor || slots * factor < slots_before);
    return has_rate_changed || has_concurrency_changed;
}

/// What this node gave up can go to others only after it has said so.
bool local_limiter::implementation::is_smaller_share_unreported() const {
    return this->share && this->reported && this->share->lease != this->reported->held_lease &&
           (this->share->rate < this->reported->held_rate * this->options.smaller_share ||
            this->share->concurrency < this->reported->held_concurrency);
}

local_limiter::local_limiter(limit_key key, limit_quota const& quota, fleet_view const& fleet,
                             local_limiter_options const& options)
    : self(std::make_unique<implementation>()) {
    this->self->key = key;
    this->self->options = options;
    this->self->quota = quota;
    this->self->fleet = fleet;
    this->self->store_phases();
}

local_limiter::~local_limiter() = default;

limit_decision local_limiter::try_admit(steady_time now) {
    auto& state = *this->self;
    auto const& bounds = state.phases[state.phase_at(now)];
    state.attempts.fetch_add(1, std::memory_order_relaxed);
    auto const in_use = state.in_use.fetch_add(1, std::memory_order_acq_rel) + 1;
    if (in_use > bounds.concurrency.load(std::memory_order_relaxed)) {
        state.in_use.fetch_sub(1, std::memory_order_acq_rel);
        state.refused_for_concurrency.fetch_add(1, std::memory_order_relaxed);
        constexpr milliseconds retry_after{100};
        return limit_refusal{limit_kind::concurrency, retry_after};
    }
    if (auto const missing = state.bucket.try_take(bounds.bucket(), now)) {
        state.in_use.fetch_sub(1, std::memory_order_acq_rel);
        return limit_refusal{limit_kind::rate, *missing};
    }
    state.note_in_use(in_use);
    return limit_permit{};
}

void local_limiter::release() {
    this->self->in_use.fetch_sub(1, std::memory_order_acq_rel);
}

void local_limiter::set_quota(limit_quota const& quota, fleet_view const& fleet, steady_time now) {
    auto const current = this->self->phase_at(now);
    auto const before = this->self->phases[current].bucket();
    this->self->quota = quota;
    this->self->fleet = fleet;
    this->self->store_phases();
    this->self->bucket.convert(before, this->self->phases[current].bucket(), now);
}

void local_limiter::apply(limit_share const& share, std::string_view divider, steady_time now) {
    auto& state = *this->self;
    auto const sender = fingerprint(divider);
    bool const is_older =
        state.share && state.divider == sender && share.lease < state.share->lease;
    if (share.key != state.key || is_older) {
        return;
    }
    auto const before = state.phases[state.phase_at(now)].bucket();
    state.share = share;
    state.divider = sender;
    state.store_phases();
    state.bucket.convert(before, state.phases[leased].bucket(), now);
    state.grace_end = ticks(now + share.duration + state.options.grace);
    state.lease_end = ticks(now + share.duration);
}

void local_limiter::measure(steady_time now) {
    auto& state = *this->self;
    auto const attempts = state.attempts.exchange(0);
    auto const refused = state.refused_for_concurrency.exchange(0);
    auto const most = state.most_in_use.exchange(state.in_use.load());
    // The peak decays slowly, because a place that goes and returns costs two reports.
    constexpr double kept_per_window = 0.97;
    state.concurrency_peak =
        std::max<double>(most + refused, state.concurrency_peak * kept_per_window);
    state.demand_concurrency =
        std::min(state.quota.concurrency,
                 static_cast<std::uint32_t>(std::ceil(state.concurrency_peak - 0.5)));
    if (state.measured && now > *state.measured) {
        std::chrono::duration<double> const window = now - *state.measured;
        std::chrono::duration<double> const constant = state.options.demand_window;
        double const rate = static_cast<double>(attempts) / window.count();
        double const last = state.demand_rate.load();
        // Few arrivals need a longer average: noise in the demand moves shares for nothing.
        constexpr double arrivals_to_average = 40.0;
        std::chrono::duration<double> const longest = state.options.longest_demand_window;
        std::chrono::duration<double> const average(
            std::clamp(arrivals_to_average / std::max(last, arrivals_to_average / longest.count()),
                       constant.count(), longest.count()));
        double const part = 1.0 - std::exp(-window / average);
        // A jump counts at once: the average would take seconds to follow it down. Twenty expected
        // arrivals fall below half by chance once in 200 windows.
        constexpr double clear_evidence = 20.0;
        bool const is_jump = std::max(rate, last) * window.count() >= clear_evidence &&
                             (rate > 2.0 * last || last > 2.0 * rate);
        state.demand_rate = is_jump ? rate : last + (rate - last) * part;
    }
    state.measured = now;
}

std::optional<limit_demand> local_limiter::due_report(steady_time now) const {
    auto const& state = *this->self;
    constexpr double idle = 0.01;
    auto const left = state.lease_left(now);
    bool const is_idle = state.demand_rate.load() < idle && state.demand_concurrency == 0;
    if (is_idle && left == milliseconds::zero()) {
        return std::nullopt;
    }
    limit_demand const report{state.key,
                              state.demand_rate.load(),
                              state.demand_concurrency,
                              1,
                              state.share ? state.share->lease : 0,
                              state.share ? state.share->rate : 0.0,
                              state.share ? state.share->concurrency : 0,
                              left};
    if (!state.reported || state.is_smaller_share_unreported()) {
        return report;
    }
    auto const since = now - state.reported_at;
    bool const is_renewal_due =
        left < state.options.renew_before && !is_idle && since >= state.options.repeat_report_after;
    bool const is_change_due =
        state.has_demand_changed() && since >= state.options.least_report_interval;
    return is_renewal_due || is_change_due ? std::optional(report) : std::nullopt;
}

void local_limiter::record_report(limit_demand const& sent, steady_time now) {
    this->self->reported = sent;
    this->self->reported_at = now;
}

double local_limiter::demand() const {
    return this->self->demand_rate.load();
}

} // namespace peridot
