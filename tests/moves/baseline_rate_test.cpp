#include "moves/baseline_rate.h"

#include "moves/disturbance_detector.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace peridot;

namespace {

constexpr double highest_usual_rate = 0.02;

// Adds samples of ten calls.
template<typename Observer>
void observe(Observer& observer, int samples, std::uint64_t events_of_ten) {
    for (int sample = 0; sample < samples; ++sample) {
        observer.observe({10, events_of_ten});
    }
}

} // namespace

TEST_GROUP(disturbance_detector) {
    disturbance_detector detector{highest_usual_rate};
};

// Guards against a disturbance that becomes the usual state while it lasts, so that a last step is
// taken in it (review/9, EXPOSURE).
TEST(disturbance_detector, long_disturbance_does_not_become_usual) {
    observe(detector, 20, 0);
    CHECK_FALSE(detector.is_disturbed());
    observe(detector, 1000, 3);
    CHECK(detector.is_disturbed());
    observe(detector, 20, 0);
    CHECK_FALSE(detector.is_disturbed());
}

// Guards against a disturbance that is not noticed because it began before the first call.
TEST(disturbance_detector, disturbance_from_the_first_call_is_noticed) {
    observe(detector, 2, 3);
    CHECK_FALSE(detector.has_enough_calls());
    observe(detector, 10, 3);
    CHECK(detector.has_enough_calls());
    CHECK(detector.is_disturbed());
}

// Guards against the end of a disturbance that is taken from a few calls without a failure.
TEST(disturbance_detector, few_calls_without_failures_do_not_end_a_disturbance) {
    observe(detector, 20, 0);
    observe(detector, 20, 3);
    observe(detector, 3, 0);
    CHECK(detector.is_disturbed());
}

TEST_GROUP(baseline_rate) {
    baseline_rate baseline{highest_usual_rate};
};

// Guards against a new version that is judged against the failures of a disturbance that is over.
TEST(baseline_rate, disturbance_that_is_over_does_not_raise_the_baseline) {
    observe(baseline, 50, 0);
    double const usual = baseline.highest();
    observe(baseline, 100, 3);
    CHECK(baseline.is_disturbed());
    observe(baseline, 30, 0);
    CHECK_FALSE(baseline.is_disturbed());
    CHECK(baseline.highest() < usual + 0.02);
}

// Guards against a good version that is taken back for being as slow as the old one was at its
// worst (move_decision, slow dependency: 34 % taken back).
TEST(baseline_rate, disturbance_counts_without_a_highest_usual_rate) {
    baseline_rate of_latency{std::nullopt};
    observe(of_latency, 50, 0);
    observe(of_latency, 200, 3);
    observe(of_latency, 30, 0);
    CHECK(of_latency.highest() > 0.25);
}

// Guards against a good version that is taken back for a disturbance that had begun with the old
// version's last calls.
TEST(baseline_rate, disturbance_that_lasts_is_the_baseline) {
    observe(baseline, 50, 0);
    observe(baseline, 20, 3);
    CHECK(baseline.highest() > 0.25);
}
