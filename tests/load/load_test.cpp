#include "load/load_report.h"
#include "load/load_schedule.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <limits>
#include <string>
#include <vector>

using namespace peridot;

namespace {

std::vector<nanoseconds> starts_of(arrival_process const& process, nanoseconds duration) {
    load_schedule schedule(process, duration);
    std::vector<nanoseconds> starts;
    while (auto const start = schedule.next()) {
        starts.push_back(*start);
    }
    return starts;
}

load_sample sample_of(nanoseconds latency, unsigned status, std::string outcome) {
    return {seconds(1), seconds(1) + latency / 2, seconds(1) + latency,
            status,     std::move(outcome),       response_check::matched};
}

/// Returns whether the quantile is at most 1 % above the expected value and not below it.
bool is_just_above(nanoseconds quantile, nanoseconds expected) {
    return quantile >= expected && quantile <= expected + expected / 100;
}

} // namespace

TEST_GROUP(load){};

// Guards against a rate that drifts because of accumulated rounding errors.
TEST(load, constant_arrivals_do_not_drift) {
    auto const starts = starts_of(constant_arrivals{300.0}, seconds(60));
    UNSIGNED_LONGS_EQUAL(18'000, starts.size());
    CHECK_TRUE(starts[0] == nanoseconds(0));
    CHECK_TRUE(starts[9'000] == seconds(30));
}

// Guards against load runs that are not reproducible or do not have the requested rate.
TEST(load, poisson_arrivals_repeat_with_the_seed) {
    auto const starts = starts_of(poisson_arrivals{1'000.0, 7}, seconds(10));
    CHECK_TRUE(starts == starts_of(poisson_arrivals{1'000.0, 7}, seconds(10)));
    CHECK_FALSE(starts == starts_of(poisson_arrivals{1'000.0, 8}, seconds(10)));
    // The tolerance is five standard deviations of the count.
    CHECK_TRUE(starts.size() > 9'500 && starts.size() < 10'500);
    for (std::size_t index = 1; index < starts.size(); ++index) {
        CHECK_TRUE(starts[index] >= starts[index - 1]);
    }
}

// Guards against an endless load run for an invalid rate.
TEST(load, invalid_rates_produce_no_arrivals) {
    for (double const rate : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
        CHECK_TRUE(starts_of(constant_arrivals{rate}, seconds(1)).empty());
        CHECK_TRUE(starts_of(poisson_arrivals{rate, 1}, seconds(1)).empty());
    }
}

// Guards against latency that excludes the delay before sending, and against losing samples when
// the reports of several threads are merged.
TEST(load, merged_reports_count_from_the_intended_start) {
    load_report first;
    load_report second;
    for (int number = 1; number <= 1'000; ++number) {
        auto& report = number % 2 == 0 ? first : second;
        report.record(sample_of(milliseconds(number), 200, "run"));
    }
    first.merge(second);
    auto const latency = first.latency();
    UNSIGNED_LONGS_EQUAL(1'000, latency.count);
    CHECK_TRUE(is_just_above(latency.p50, milliseconds(500)));
    CHECK_TRUE(is_just_above(latency.p90, milliseconds(900)));
    CHECK_TRUE(is_just_above(latency.p99, milliseconds(990)));
    CHECK_TRUE(is_just_above(latency.p999, milliseconds(999)));
    CHECK_TRUE(latency.max == seconds(1));
    LONGS_EQUAL(500'000, first.to_json().at("longest_send_delay_us").as_int64());
}

// Guards against reports that omit failures or mismatched responses.
TEST(load, statuses_outcomes_and_mismatches_are_reported) {
    load_report report;
    report.record(sample_of(seconds(500), 503, "not_run"));
    report.record(sample_of(nanoseconds(-5), 0, ""));
    load_sample mismatched_sample = sample_of(milliseconds(1), 200, "run");
    mismatched_sample.response = response_check::mismatched;
    report.record(mismatched_sample);
    UNSIGNED_LONGS_EQUAL(1, report.mismatched_answers());
    STRCMP_EQUAL(R"({"0":1,"200":1,"503":1})",
                 boost::json::serialize(report.to_json().at("statuses")).c_str());
    STRCMP_EQUAL(R"({"none":1,"not_run":1,"run":1})",
                 boost::json::serialize(report.to_json().at("outcomes")).c_str());
    CHECK_TRUE(report.latency().max == seconds(500));
    std::string const text = report.to_text();
    CHECK_TRUE(text.find("mismatched answers      1\n") != std::string::npos);
    CHECK_TRUE(text.find("status 503              1\n") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(0, load_report().latency().count);
}
