#include "mesh/latest_failures.h"

#include <algorithm>

namespace peridot {

namespace {

// Answers that ended within this time are the latest ones.
constexpr milliseconds latest_time{500};
// More failures than this many times the expected ones, and this many in addition, do not occur by
// chance.
constexpr double expected_factor = 3;
constexpr double additional_failures = 3;

} // namespace

void latest_failures::observe(route_evidence const& totals, milliseconds now) {
    this->old_answers = {totals.old_version.calls, totals.old_version.failures};
    this->samples.push_back({now, {totals.new_version.calls, totals.new_version.failures}});
    while (this->samples.size() > 2 && this->samples[1].at <= now - latest_time) {
        this->samples.pop_front();
    }
}

bool latest_failures::is_rising() const {
    if (this->samples.empty()) {
        return false;
    }
    auto const& earlier = this->samples.front().answers;
    auto const& all = this->samples.back().answers;
    if (all.calls < earlier.calls || all.events < earlier.events) {
        return false;
    }
    double const usual = std::max(rate(earlier), rate(this->old_answers));
    double const expected = usual * static_cast<double>(all.calls - earlier.calls);
    return static_cast<double>(all.events - earlier.events) >
           expected_factor * expected + additional_failures;
}

} // namespace peridot
