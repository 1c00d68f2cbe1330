#include "summary.h"

#include <algorithm>
#include <cstdio>

namespace peridot::move_decision {

namespace {

// The goals of docs/design.md, section 1. Do not derive them from measurements.
constexpr double minimum_taken_back = 0.995;
constexpr double maximum_exposed = 0.005;
constexpr double maximum_seconds_to_zero = 2;
// The design does not specify a quantile for this goal; it is the same as for the other goals.
constexpr double goal_quantile = 0.995;
constexpr double maximum_false_take_backs = 0.005;
constexpr double minimum_done_in_time = 0.995;

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

std::string describe_miss(char const* what, double figure, double goal) {
    std::string text(160, '\0');
    int const length =
        std::snprintf(text.data(), text.size(), "%s %.4f, goal %.4f", what, figure, goal);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace

summary summarise(std::vector<run_outcome> const& outcomes) {
    std::vector<double> exposed;
    std::vector<double> to_zero;
    std::vector<double> bytes;
    summary statistics;
    statistics.runs = outcomes.size();
    for (auto const& outcome : outcomes) {
        statistics.taken_back += outcome.taken_back ? 1 : 0;
        statistics.done_in_time += outcome.done_in_time ? 1 : 0;
        exposed.push_back(outcome.exposed);
        bytes.push_back(outcome.report_bytes);
        if (outcome.seconds_to_zero) {
            to_zero.push_back(*outcome.seconds_to_zero);
        }
    }
    statistics.taken_back /= static_cast<double>(outcomes.size());
    statistics.done_in_time /= static_cast<double>(outcomes.size());
    statistics.median_exposed = quantile(exposed, 0.5);
    statistics.worst_exposed = quantile(exposed, 1);
    statistics.median_seconds_to_zero = quantile(to_zero, 0.5);
    statistics.high_seconds_to_zero = quantile(to_zero, goal_quantile);
    statistics.slowest_seconds_to_zero = quantile(to_zero, 1);
    statistics.median_report_bytes = quantile(bytes, 0.5);
    return statistics;
}

std::vector<std::string> missed_goals(scenario const& test_case, summary const& statistics) {
    std::vector<std::string> missed;
    auto const require = [&missed](bool is_met, char const* what, double figure, double goal) {
        if (!is_met) {
            missed.push_back(describe_miss(what, figure, goal));
        }
    };
    if (test_case.expected == expectation::complete) {
        require(statistics.taken_back < maximum_false_take_backs, "falsely taken back",
                statistics.taken_back, maximum_false_take_backs);
        require(statistics.done_in_time >= minimum_done_in_time, "done in time",
                statistics.done_in_time, minimum_done_in_time);
    }
    if (test_case.expected == expectation::take_back) {
        require(statistics.taken_back >= minimum_taken_back, "taken back", statistics.taken_back,
                minimum_taken_back);
        require(statistics.median_exposed < maximum_exposed, "median exposed",
                statistics.median_exposed, maximum_exposed);
        require(statistics.high_seconds_to_zero <= maximum_seconds_to_zero,
                "99.5 % quantile of seconds to zero share", statistics.high_seconds_to_zero,
                maximum_seconds_to_zero);
    }
    return missed;
}

} // namespace peridot::move_decision
