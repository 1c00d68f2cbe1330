#include "load/load_report.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace peridot {

namespace {

namespace bh = boost::histogram;
namespace json = boost::json;

// 2,000 logarithmic bins from 1 us to 100 s: each is 0.93 % wider than the previous one.
constexpr unsigned bin_count = 2'000;
constexpr double min_seconds = 1e-6;
constexpr double max_seconds = 100.0;
constexpr double nanoseconds_per_second = 1e9;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using count_storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, false>>;

auto make_bins() {
    return bh::make_histogram_with(count_storage(), log_axis(bin_count, min_seconds, max_seconds));
}

using latency_bins = decltype(make_bins());

/// Returns the upper bound of the bin that contains the quantile, capped at the maximum value.
nanoseconds quantile(latency_bins const& bins, std::uint64_t count, nanoseconds max,
                     double fraction) {
    auto const rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count)));
    auto const& axis = bins.axis();
    std::uint64_t cumulative = 0;
    for (int index = -1; index < axis.size(); ++index) {
        cumulative += bins.at(index).value();
        if (cumulative >= rank) {
            std::chrono::duration<double> const bound(axis.value(index + 1));
            return std::min(max, nanoseconds(std::llround(bound.count() * nanoseconds_per_second)));
        }
    }
    return max;
}

std::int64_t in_microseconds(nanoseconds duration) {
    return std::chrono::ceil<microseconds>(duration).count();
}

template<typename Key>
void add_counts(std::map<Key, std::uint64_t>& sum, std::map<Key, std::uint64_t> const& other) {
    for (auto const& [key, count] : other) {
        sum[key] += count;
    }
}

std::string key_text(std::string const& key) {
    return key;
}

std::string key_text(unsigned key) {
    return std::to_string(key);
}

template<typename Key>
json::object counts_json(std::map<Key, std::uint64_t> const& counts) {
    json::object object;
    for (auto const& [key, count] : counts) {
        object[key_text(key)] = count;
    }
    return object;
}

template<typename Key>
void write_counts(std::ostream& lines, std::string const& title,
                  std::map<Key, std::uint64_t> const& counts) {
    for (auto const& [key, count] : counts) {
        lines << std::left << std::setw(24) << title + " " + key_text(key) << count << '\n';
    }
}

} // namespace

class load_report::implementation {
public:
    void record(load_sample const& sample) {
        nanoseconds const latency = std::max(sample.ended - sample.intended_start, nanoseconds(0));
        this->bins(std::chrono::duration<double>(latency).count());
        ++this->count;
        this->max = std::max(this->max, latency);
        this->max_send_delay = std::max(this->max_send_delay, sample.sent - sample.intended_start);
        ++this->statuses[sample.status];
        ++this->outcomes[sample.outcome.empty() ? "none" : sample.outcome];
        this->mismatched += sample.response == response_check::mismatched ? 1 : 0;
        this->unanswered += sample.response == response_check::no_response ? 1 : 0;
    }

    void merge(implementation const& other) {
        this->bins += other.bins;
        this->count += other.count;
        this->max = std::max(this->max, other.max);
        this->max_send_delay = std::max(this->max_send_delay, other.max_send_delay);
        add_counts(this->statuses, other.statuses);
        add_counts(this->outcomes, other.outcomes);
        this->mismatched += other.mismatched;
        this->unanswered += other.unanswered;
    }

    latency_summary latency() const {
        auto const quantile_at = [this](double fraction) {
            return quantile(this->bins, this->count, this->max, fraction);
        };
        return {this->count,       quantile_at(0.5),   quantile_at(0.9),
                quantile_at(0.99), quantile_at(0.999), this->max};
    }

    std::uint64_t mismatched_answers() const { return this->mismatched; }

    json::object to_json() const {
        latency_summary const summary = this->latency();
        return {{"requests", summary.count},
                {"latency_us",
                 {{"p50", in_microseconds(summary.p50)},
                  {"p90", in_microseconds(summary.p90)},
                  {"p99", in_microseconds(summary.p99)},
                  {"p99.9", in_microseconds(summary.p999)},
                  {"max", in_microseconds(summary.max)}}},
                {"longest_send_delay_us", in_microseconds(this->max_send_delay)},
                {"statuses", counts_json(this->statuses)},
                {"outcomes", counts_json(this->outcomes)},
                {"mismatched_answers", this->mismatched},
                {"unanswered", this->unanswered}};
    }

    std::string to_text() const {
        std::ostringstream lines;
        auto const line = [&lines](std::string const& title, auto amount, char const* unit) {
            lines << std::left << std::setw(24) << title << amount << unit << '\n';
        };
        latency_summary const summary = this->latency();
        line("requests", summary.count, "");
        line("latency p50", in_microseconds(summary.p50), " us");
        line("latency p90", in_microseconds(summary.p90), " us");
        line("latency p99", in_microseconds(summary.p99), " us");
        line("latency p99.9", in_microseconds(summary.p999), " us");
        line("latency max", in_microseconds(summary.max), " us");
        line("longest send delay", in_microseconds(this->max_send_delay), " us");
        write_counts(lines, "status", this->statuses);
        write_counts(lines, "outcome", this->outcomes);
        line("mismatched answers", this->mismatched, "");
        line("unanswered", this->unanswered, "");
        return lines.str();
    }

private:
    latency_bins bins = make_bins();
    std::uint64_t count = 0;
    nanoseconds max{0};
    /// Maximum delay between the intended start and the sending of a request. A large value means
    /// that the load generator was overloaded and its measurements are unreliable.
    nanoseconds max_send_delay{0};
    std::map<unsigned, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t mismatched = 0;
    std::uint64_t unanswered = 0;
};

load_report::load_report() : self(std::make_unique<implementation>()) {}

load_report::~load_report() = default;
load_report::load_report(load_report&&) noexcept = default;
load_report& load_report::operator=(load_report&&) noexcept = default;

void load_report::record(load_sample const& sample) {
    this->self->record(sample);
}

void load_report::merge(load_report const& other) {
    this->self->merge(*other.self);
}

latency_summary load_report::latency() const {
    return this->self->latency();
}

std::uint64_t load_report::mismatched_answers() const {
    return this->self->mismatched_answers();
}

boost::json::object load_report::to_json() const {
    return this->self->to_json();
}

std::string load_report::to_text() const {
    return this->self->to_text();
}

} // namespace peridot
