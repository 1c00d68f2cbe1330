#include "observability/counter.h"
#include "observability/gauge.h"
#include "observability/latency_histogram.h"
#include "observability/metric_registry.h"

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;

namespace {

void check_contains(std::string const& text, std::string const& part) {
    CHECK_TRUE_TEXT(text.find(part) != std::string::npos, part.c_str());
}

} // namespace

TEST_GROUP(metric_registry){};

// Guards against text that a Prometheus scraper rejects or misinterprets.
TEST(metric_registry, exposition_has_help_type_and_escaped_labels) {
    metric_registry registry;
    registry.register_counter("peridot_calls_total", "Calls\\so\nfar", {{"route", "a\"b\\c\nd"}})
        .add(3);
    registry.register_gauge("peridot_queue_requests", "Queued", {{"zone", "x"}, {"class", "y"}})
        .set(-2);
    std::string const text = registry.exposition();
    check_contains(text, "# HELP peridot_calls_total Calls\\\\so\\nfar\n"
                         "# TYPE peridot_calls_total counter\n"
                         "peridot_calls_total{route=\"a\\\"b\\\\c\\nd\"} 3\n");
    check_contains(text, "# TYPE peridot_queue_requests gauge\n"
                         "peridot_queue_requests{class=\"y\",zone=\"x\"} -2\n");
}

// Guards against losing durations outside the range of the bins, and non-cumulative buckets.
TEST(metric_registry, histogram_counts_every_duration) {
    metric_registry registry;
    auto& latency = registry.register_latency("peridot_call_seconds", "Latency");
    latency.record(nanoseconds(-1));
    latency.record(milliseconds(1));
    latency.record(seconds(3600));
    auto const snapshot = latency.snapshot();
    UNSIGNED_LONGS_EQUAL(1, snapshot.counts.front());
    UNSIGNED_LONGS_EQUAL(1, snapshot.counts.back());
    std::string const text = registry.exposition();
    check_contains(text, "peridot_call_seconds_bucket{le=\"60\"} 2\n");
    check_contains(text, "peridot_call_seconds_bucket{le=\"+Inf\"} 3\n");
    check_contains(text, "peridot_call_seconds_sum 3600.001\nperidot_call_seconds_count 3\n");
}

// Guards against two metrics with the same name, and against names that violate the convention.
TEST(metric_registry, invalid_registrations_are_counted_and_not_published) {
    metric_registry registry;
    auto& first = registry.register_counter("peridot_a_total", "A", {{"x", "1"}, {"y", "2"}});
    auto& again = registry.register_counter("peridot_a_total", "A", {{"y", "2"}, {"x", "1"}});
    POINTERS_EQUAL(&first, &again);
    registry.register_counter("peridot_a", "no suffix").add();
    registry.register_counter("other_total", "no prefix").add();
    registry.register_gauge("peridot_a_total", "a counter's name").set(1);
    registry.register_latency("peridot_call_ms", "wrong unit").record(milliseconds(1));
    registry.register_counter("peridot_b_total", "reserved label", {{"le", "1"}}).add();
    registry.register_counter("peridot_b_total", "label twice", {{"x", "1"}, {"x", "2"}}).add();
    registry.register_counter("peridot_b_total", "labels", metric_labels(9, {"x", "1"})).add();
    check_contains(registry.exposition(), "peridot_metrics_rejected_total 7\n");
}

// Guards against unbounded growth when label values come from untrusted input.
TEST(metric_registry, series_of_a_metric_are_bounded) {
    metric_registry registry;
    for (std::size_t index = 0; index < max_series_per_metric + 5; ++index) {
        registry.register_counter("peridot_a_total", "A", {{"x", std::to_string(index)}}).add();
    }
    check_contains(registry.exposition(), "peridot_metrics_rejected_total 5\n");
}

// Guards against lost updates and data races between workers and scrapes.
TEST(metric_registry, concurrent_updates_are_all_counted) {
    constexpr unsigned threads = 4;
    constexpr unsigned updates = 5'000;
    metric_registry registry;
    auto& calls = registry.register_counter("peridot_calls_total", "Calls");
    auto& open = registry.register_gauge("peridot_open_connections", "Open");
    auto& latency = registry.register_latency("peridot_call_seconds", "Latency");
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&, worker] {
            for (unsigned update = 0; update < updates; ++update) {
                calls.add();
                open.add(worker % 2 == 0 ? 1 : -1);
                latency.record(microseconds(update));
            }
        });
    }
    for (int scrape = 0; scrape < 20; ++scrape) {
        check_contains(registry.exposition(), "peridot_calls_total");
    }
    for (auto& worker : workers) {
        worker.join();
    }
    UNSIGNED_LONGS_EQUAL(threads * updates, calls.value());
    LONGS_EQUAL(0, open.value());
    auto const counts = latency.snapshot().counts;
    UNSIGNED_LONGS_EQUAL(threads * updates,
                         std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
}
