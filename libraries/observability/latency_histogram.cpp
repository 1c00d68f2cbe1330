#include "observability/latency_histogram.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <atomic>

namespace peridot {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bin_count = 60;
constexpr double min_seconds = 50e-6;
constexpr double max_seconds = 60.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using thread_safe_storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

auto make_bins() {
    return bh::make_histogram_with(thread_safe_storage(),
                                   log_axis(bin_count, min_seconds, max_seconds));
}

} // namespace

class latency_histogram::implementation {
public:
    void record(nanoseconds duration) {
        nanoseconds const counted = std::max(duration, nanoseconds(0));
        this->bins(std::chrono::duration<double>(counted).count());
        this->sum.fetch_add(counted.count(), std::memory_order_relaxed);
    }

    latency_snapshot snapshot() const {
        latency_snapshot current;
        auto const& axis = this->bins.axis();
        current.sum = nanoseconds(this->sum.load(std::memory_order_relaxed));
        // Index -1 is the underflow bin and index size() the overflow bin.
        for (int index = -1; index <= axis.size(); ++index) {
            current.counts.push_back(this->bins.at(index).value());
            if (index < axis.size()) {
                current.upper_bounds.push_back(axis.value(index + 1));
            }
        }
        return current;
    }

private:
    decltype(make_bins()) bins = make_bins();
    std::atomic<std::int64_t> sum{0};
};

latency_histogram::latency_histogram() : self(std::make_unique<implementation>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(nanoseconds duration) {
    this->self->record(duration);
}

latency_snapshot latency_histogram::snapshot() const {
    return this->self->snapshot();
}

} // namespace peridot
