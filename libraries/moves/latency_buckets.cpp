#include "moves/latency_buckets.h"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace axis = boost::histogram::axis;

auto const& latency_axis() {
    static axis::regular<double, axis::transform::log> const instance(
        static_cast<unsigned>(latency_buckets::count - 2), 0.5, 65'536.0);
    return instance;
}

} // namespace

std::size_t latency_buckets::index(microseconds latency) {
    double const in_milliseconds = std::max(0.001, static_cast<double>(latency.count()) / 1000.0);
    // The axis returns -1 for values below its range; the sum wraps around to 0.
    return static_cast<std::size_t>(latency_axis().index(in_milliseconds)) + 1;
}

microseconds latency_buckets::lower_edge(std::size_t bucket) {
    if (bucket == 0) {
        return microseconds(0);
    }
    auto const in_milliseconds =
        latency_axis().value(static_cast<double>(std::min(bucket, count - 1) - 1));
    return microseconds(static_cast<std::int64_t>(in_milliseconds * 1000.0));
}

} // namespace peridot
