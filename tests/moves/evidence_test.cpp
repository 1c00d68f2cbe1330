#include "moves/evidence_aggregator.h"
#include "moves/evidence_counter.h"
#include "moves/evidence_report.h"
#include "moves/report_policy.h"

#include "core/random_source.h"
#include "mutation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace peridot;

namespace {

call_result call_to(target_side side, call_outcome outcome) {
    return {side, call_attempt::first, outcome, milliseconds(20), 30};
}

void count_calls(evidence_counter& counter, int calls, int failures,
                 std::string const& route = "GET /payouts") {
    for (int index = 0; index < calls; ++index) {
        auto const outcome = index < failures ? call_outcome::failed : call_outcome::succeeded;
        counter.record(route, call_to(target_side::new_version, outcome));
    }
}

evidence_report report_of(evidence_counter const& counter, std::uint64_t sequence,
                          std::uint64_t incarnation = 1) {
    return {"move", "node-a", incarnation, sequence, counter.counts()};
}

std::uint64_t new_calls(evidence_aggregator const& aggregator) {
    return pooled(aggregator.totals()).new_version.calls;
}

} // namespace

TEST_GROUP(evidence){};

// Guards against latencies outside the histogram or in the wrong bucket.
TEST(evidence, latencies_map_to_the_bucket_with_matching_edges) {
    CHECK_EQUAL(0U, latency_buckets::index(microseconds(0)));
    CHECK_EQUAL(latency_buckets::count - 1, latency_buckets::index(seconds(3600)));
    for (std::size_t bucket = 1; bucket < latency_buckets::count; ++bucket) {
        auto const edge = latency_buckets::lower_edge(bucket);
        CHECK_EQUAL(bucket, latency_buckets::index(edge + microseconds(2)));
        CHECK_EQUAL(bucket - 1, latency_buckets::index(edge - microseconds(2)));
    }
}

// Guards against latencies that cannot be told apart: beyond a second, a version that took several
// times as long as the old one seemed equal to it (review/4, EXPOSURE).
TEST(evidence, latencies_differ_up_to_a_minute) {
    for (auto latency = milliseconds(600); latency <= seconds(30); latency *= 2) {
        CHECK_EQUAL(latency_buckets::index(latency) + 2, latency_buckets::index(latency * 2));
    }
}

// Guards against a caller that leaves early and thereby speaks for or against its version.
TEST(evidence, abandoned_call_counts_only_below_the_time_that_its_caller_waited) {
    evidence_counter counter;
    count_calls(counter, 3, 0);
    counter.record("GET /payouts", call_to(target_side::new_version, call_outcome::abandoned));
    auto const counts = pooled(counter.counts()).new_version;
    CHECK_EQUAL(4U, slow_calls(counts, latency_buckets::index(milliseconds(10))).events);
    CHECK_EQUAL(3U, slow_calls(counts, latency_buckets::index(milliseconds(50))).calls);
    CHECK_EQUAL(0U, slow_calls(counts, latency_buckets::index(milliseconds(50))).events);
    CHECK_EQUAL(3U, counts.calls);
}

// Guards against calls without an answer that are lost on the way to the judge.
TEST(evidence, calls_without_an_answer_round_trip) {
    evidence_counter counter;
    count_calls(counter, 20, 2);
    counter.record_progress("GET /payouts", target_side::new_version, 0,
                            latency_buckets::index(seconds(2)));
    counter.record("GET /payouts", call_to(target_side::old_version, call_outcome::abandoned));
    for (auto const& datagram : encode(report_of(counter, 1))) {
        auto const decoded = decode_evidence_report(datagram);
        CHECK(is_ok(decoded));
        CHECK(value(decoded).routes == counter.counts());
    }
}

// Guards against a take-back that is caused by refusals of limits or by retries.
TEST(evidence, refusals_and_retries_are_not_counted) {
    evidence_counter counter;
    counter.record("r", call_to(target_side::new_version, call_outcome::not_judged));
    auto retry = call_to(target_side::new_version, call_outcome::failed);
    retry.attempt = call_attempt::retry;
    counter.record("r", retry);
    CHECK_EQUAL(0U, pooled(counter.counts()).new_version.calls);
}

// Guards against totals that are increased twice or decreased by duplicate, late or reordered
// reports.
TEST(evidence, totals_do_not_depend_on_report_order_or_repetition) {
    evidence_counter counter;
    std::vector<evidence_report> reports;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        count_calls(counter, 10, 1);
        reports.push_back(report_of(counter, sequence));
    }
    auto const repeated = reports;
    reports.insert(reports.end(), repeated.begin(), repeated.end());
    random_source random(3);
    for (int round = 0; round < 50; ++round) {
        std::shuffle(reports.begin(), reports.end(), random);
        evidence_aggregator aggregator("move");
        std::uint64_t highest = 0;
        for (auto const& report : reports) {
            aggregator.accept(report);
            CHECK_TRUE(new_calls(aggregator) >= highest);
            highest = new_calls(aggregator);
        }
        CHECK_EQUAL(200U, highest);
        CHECK_TRUE(aggregator.totals() == counter.counts());
    }
}

// Guards against the loss of a replaced node's evidence, and against counting it again when a late
// report arrives.
TEST(evidence, evidence_of_a_replaced_node_is_counted_once) {
    evidence_counter former;
    count_calls(former, 50, 5);
    auto const early = report_of(former, 4);
    count_calls(former, 20, 0);
    auto const late = report_of(former, 5);
    evidence_counter replacement;
    count_calls(replacement, 30, 0);
    evidence_aggregator aggregator("move");
    aggregator.accept(early);
    aggregator.accept(report_of(replacement, 1, 2));
    CHECK_EQUAL(80U, new_calls(aggregator));
    CHECK_EQUAL(1U, aggregator.accept(late));
    CHECK_EQUAL(0U, aggregator.accept(early));
    CHECK_EQUAL(0U, aggregator.accept(report_of(replacement, 1, 2)));
    CHECK_EQUAL(100U, new_calls(aggregator));
}

// Guards against accepting counts that decrease within an incarnation, which only a fault can
// cause.
TEST(evidence, decreasing_counts_are_refused) {
    evidence_counter counter;
    evidence_counter fewer;
    count_calls(counter, 50, 5);
    count_calls(fewer, 40, 5);
    evidence_aggregator aggregator("move");
    aggregator.accept(report_of(counter, 1));
    CHECK_EQUAL(0U, aggregator.accept(report_of(fewer, 2)));
    CHECK_EQUAL(50U, new_calls(aggregator));
}

// Guards against a new judge that treats the counts of the whole move as calls of a single block.
TEST(evidence, large_first_reports_are_only_a_starting_point) {
    evidence_counter counter;
    count_calls(counter, 6000, 600);
    evidence_aggregator aggregator("move");
    aggregator.accept(report_of(counter, 1));
    CHECK_EQUAL(0U, new_calls(aggregator));
    count_calls(counter, 10, 0);
    aggregator.accept(report_of(counter, 2));
    CHECK_EQUAL(10U, new_calls(aggregator));
}

// Guards against reports that exceed the size of a datagram, and against routes that are lost when
// a report is split.
TEST(evidence, reports_are_split_into_bounded_datagrams) {
    evidence_counter counter;
    for (int route = 0; route < 40; ++route) {
        count_calls(counter, 300, 3,
                    std::string(route == 0 ? 128 : 24, 'r') + std::to_string(route));
    }
    auto const report = report_of(counter, 9);
    auto joined = report;
    joined.routes.clear();
    auto const datagrams = encode(report);
    CHECK_TRUE(datagrams.size() > 1);
    for (auto const& datagram : datagrams) {
        CHECK_TRUE(datagram.size() <= evidence_report::maximum_datagram_size);
        auto const part = decode_evidence_report(datagram);
        CHECK_TRUE(is_ok(part));
        CHECK_EQUAL(9U, value(part).sequence);
        joined.routes.insert(value(part).routes.begin(), value(part).routes.end());
    }
    CHECK_TRUE(joined == report);
}

// Guards against corrupted bytes that are decoded as different counts.
TEST(evidence, mutated_bytes_are_refused) {
    evidence_counter counter;
    count_calls(counter, 300, 3);
    check_mutations_refused(encode(report_of(counter, 9)).front(), [](std::string_view bytes) {
        return is_ok(decode_evidence_report(bytes));
    });
}

// Guards against accepting inconsistent counts from a faulty sender.
TEST(evidence, inconsistent_counts_are_refused) {
    evidence_counter counter;
    count_calls(counter, 30, 3);
    auto report = report_of(counter, 1);
    report.routes.begin()->second.new_version.failures = 31;
    CHECK_FALSE(is_ok(decode_evidence_report(encode(report).front())));
}

// Guards against a volume of reports that grows linearly with the traffic.
TEST(evidence, report_count_grows_logarithmically_with_calls) {
    evidence_counter counter;
    report_policy policy;
    steady_time now;
    int reports = 0;
    for (int round = 0; round < 100'000; ++round) {
        count_calls(counter, 10, 0);
        now += milliseconds(200);
        if (policy.is_due(now, counter.counts())) {
            policy.record_sent(now, counter.counts(), 150);
            ++reports;
        }
    }
    // There are a million calls; log(100,000) / log(1.2) is 63, and each report is repeated once.
    CHECK_TRUE(reports > 10 && reports <= 130);
}

// Guards against a fault that is not reported to the judges until the counts have grown by a
// factor.
TEST(evidence, failure_bursts_are_reported_immediately) {
    evidence_counter counter;
    report_policy policy;
    steady_time now;
    count_calls(counter, 10'000, 10);
    policy.record_sent(now, counter.counts(), 150);
    now += milliseconds(200);
    count_calls(counter, 20, 0);
    CHECK_FALSE(policy.is_due(now, counter.counts()));
    count_calls(counter, 20, 2);
    CHECK_TRUE(policy.is_due(now, counter.counts()));
    policy.reset();
    CHECK_TRUE(policy.is_due(now, evidence_counter(std::move(counter)).counts()));
}

// Guards against an increase in latency that is not reported until the counts have grown by a
// factor.
TEST(evidence, slow_call_bursts_are_reported_immediately) {
    evidence_counter counter;
    report_policy policy;
    steady_time now;
    count_calls(counter, 10'000, 10);
    for (int index = 0; index < 1000; ++index) {
        counter.record("GET /payouts", call_to(target_side::old_version, call_outcome::succeeded));
    }
    policy.record_sent(now, counter.counts(), 150);
    now += milliseconds(200);
    for (int index = 0; index < 3; ++index) {
        auto slow = call_to(target_side::new_version, call_outcome::succeeded);
        slow.latency = milliseconds(45);
        counter.record("GET /payouts", slow);
    }
    CHECK_TRUE(policy.is_due(now, counter.counts()));
}

// Guards against a judge that, at low traffic, receives a failure without the successful calls of
// the same time, or receives those only after the counts have grown by a factor.
TEST(evidence, sparse_calls_of_either_version_are_reported_individually) {
    evidence_counter counter;
    report_policy policy;
    steady_time now;
    count_calls(counter, 1000, 0);
    for (auto const side : {target_side::old_version, target_side::new_version}) {
        now += seconds(10);
        policy.record_sent(now, counter.counts(), 150);
        now += report_policy::repeat_interval;
        policy.record_sent(now, counter.counts(), 150);
        now += milliseconds(1200);
        CHECK_FALSE(policy.is_due(now, counter.counts()));
        counter.record("GET /payouts", call_to(side, call_outcome::succeeded));
        CHECK_TRUE(policy.is_due(now, counter.counts()));
    }
}

// Guards against reports of sparse calls on many routes that exceed the budget for control traffic.
TEST(evidence, sparse_call_reports_stay_within_the_byte_budget) {
    constexpr std::size_t report_bytes = 1000;
    constexpr int duration = 1000;
    evidence_counter counter;
    report_policy policy;
    steady_time now;
    std::size_t bytes = 0;
    // About eight calls in ten seconds, each of which makes a report due: 800 B/s and the repeats.
    for (int round = 0; round < 5 * duration; ++round) {
        count_calls(counter, round % 6 == 0 ? 1 : 0, 0);
        now += report_policy::minimum_interval;
        if (policy.is_due(now, counter.counts())) {
            policy.record_sent(now, counter.counts(), report_bytes);
            bytes += report_bytes;
        }
    }
    CHECK_TRUE(static_cast<double>(bytes) <=
               1.05 * duration * report_policy::sparse_bytes_per_second);
}
