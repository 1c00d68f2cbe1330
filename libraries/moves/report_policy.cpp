#include "moves/report_policy.h"

#include "moves/event_sample.h"

#include <algorithm>
#include <optional>

namespace peridot {

namespace {

// The slowest tenth of the calls is counted as slow.
constexpr double slow_fraction = 0.1;

std::size_t slow_bucket(latency_buckets::counts const& latencies) {
    auto const calls = static_cast<double>(calls_at_or_above(latencies, 0));
    std::size_t bucket = latency_buckets::count - 1;
    while (bucket > 1 &&
           static_cast<double>(calls_at_or_above(latencies, bucket - 1)) <= slow_fraction * calls) {
        --bucket;
    }
    return bucket;
}

// Minimum number of concurrent old calls from which the expected rate is derived.
constexpr std::uint64_t minimum_old_calls = 20;

// Returns the rate expected of the new version: the old version's earlier or concurrent rate.
// Without concurrent old calls, the new version's earlier rate is taken into account too.
double expected_rate(event_sample old_sent, event_sample old_increase, event_sample new_sent) {
    if (old_increase.calls >= minimum_old_calls) {
        return std::max(rate(old_sent), rate(old_increase));
    }
    return old_increase.calls > 0 ? rate(old_sent) : std::max(rate(old_sent), rate(new_sent));
}

bool is_burst(event_sample increase, std::uint64_t minimum_events, double expected) {
    return increase.events >= minimum_events &&
           static_cast<double>(increase.events) >=
               report_policy::burst_factor * expected * static_cast<double>(increase.calls);
}

event_sample failures_of(version_evidence const& counts) {
    return {counts.calls, counts.failures};
}

bool has_burst(route_evidence const& sent, route_evidence const& increase) {
    bool const reports_immediately = sent.new_version.calls < report_policy::immediate_report_calls;
    auto const& old_sent = sent.old_version;
    auto const& old_increase = increase.old_version;
    if (is_burst(failures_of(increase.new_version),
                 reports_immediately ? 1 : report_policy::burst_failures,
                 expected_rate(failures_of(old_sent), failures_of(old_increase),
                               failures_of(sent.new_version)))) {
        return true;
    }
    auto const bucket = slow_bucket(old_sent.latencies);
    return is_burst(slow_calls(increase.new_version, bucket),
                    reports_immediately ? 1 : report_policy::burst_slow_calls,
                    expected_rate(slow_calls(old_sent, bucket), slow_calls(old_increase, bucket),
                                  slow_calls(sent.new_version, bucket)));
}

bool has_grown(std::uint64_t now, std::uint64_t sent, double factor) {
    return now > sent && static_cast<double>(now) >= factor * static_cast<double>(sent);
}

// Whether there are unsent calls and their rate is below the sparse rate.
bool is_sparse(std::uint64_t now, std::uint64_t sent, steady_time::duration since) {
    return now > sent &&
           static_cast<double>(now - sent) <
               report_policy::sparse_rate * std::chrono::duration<double>(since).count();
}

} // namespace

struct report_policy::implementation {
    std::optional<steady_time> sent_at;
    bool share_changed = false;
    bool is_repeat_pending = false;
    evidence_by_route sent;
    route_evidence sent_total;
    double saved_bytes = maximum_saved_bytes;

    double budget_at(steady_time now) const {
        if (!this->sent_at) {
            return this->saved_bytes;
        }
        double const seconds_since = std::chrono::duration<double>(now - *this->sent_at).count();
        return std::min(maximum_saved_bytes,
                        this->saved_bytes + sparse_bytes_per_second * seconds_since);
    }

    bool has_route_burst(std::string const& route, route_evidence const& counts) const {
        static route_evidence const none;
        auto const last_sent = this->sent.find(route);
        auto const& previous = last_sent == this->sent.end() ? none : last_sent->second;
        if (counts.new_version == previous.new_version) {
            return false;
        }
        return has_burst(previous, {count_increase(counts.old_version, previous.old_version),
                                    count_increase(counts.new_version, previous.new_version)});
    }
};

report_policy::report_policy() : state(std::make_unique<implementation>()) {}
report_policy::~report_policy() = default;
report_policy::report_policy(report_policy&&) noexcept = default;
report_policy& report_policy::operator=(report_policy&&) noexcept = default;

bool report_policy::is_due(steady_time now, evidence_by_route const& counts) const {
    auto const sum = pooled(counts);
    if (sent_calls(sum.new_version) == 0 && sent_calls(sum.old_version) == 0) {
        return false;
    }
    if (!this->state->sent_at || this->state->share_changed) {
        return true;
    }
    auto const since = now - *this->state->sent_at;
    if (since < minimum_interval) {
        return false;
    }
    if (this->state->is_repeat_pending && since >= repeat_interval) {
        return true;
    }
    auto const& reported = this->state->sent_total;
    if (has_grown(sent_calls(sum.new_version), sent_calls(reported.new_version),
                  new_growth_factor) ||
        has_grown(sent_calls(sum.old_version), sent_calls(reported.old_version),
                  old_growth_factor)) {
        return true;
    }
    if (this->state->budget_at(now) > 0 &&
        (is_sparse(sent_calls(sum.new_version), sent_calls(reported.new_version), since) ||
         is_sparse(sent_calls(sum.old_version), sent_calls(reported.old_version), since))) {
        return true;
    }
    return std::any_of(counts.begin(), counts.end(), [this](auto const& entry) {
        return this->state->has_route_burst(entry.first, entry.second);
    });
}

void report_policy::record_sent(steady_time now, evidence_by_route const& counts,
                                std::size_t bytes) {
    this->state->saved_bytes =
        std::max(-maximum_saved_bytes, this->state->budget_at(now) - static_cast<double>(bytes));
    // A report that is itself the repeat is not repeated again.
    this->state->is_repeat_pending =
        !(this->state->is_repeat_pending && now - *this->state->sent_at >= repeat_interval);
    this->state->sent_at = now;
    this->state->share_changed = false;
    this->state->sent = counts;
    this->state->sent_total = pooled(counts);
}

void report_policy::set_share_changed() {
    this->state->share_changed = true;
}

void report_policy::reset() {
    *this->state = implementation{};
}

} // namespace peridot
