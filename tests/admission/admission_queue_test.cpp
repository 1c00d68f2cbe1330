#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

steady_time const start{std::chrono::hours(1)};

waiting_request make_waiting(std::uint64_t id, request_class priority, milliseconds timeout,
                             steady_time arrived = start) {
    return {id, {priority, arrived + timeout, arrived}, nullptr};
}

} // namespace

TEST_GROUP(admission_queue){};

// Guards against background requests dispatched before interactive ones, and against later
// deadlines dispatched before earlier ones.
TEST(admission_queue, requests_are_ordered_by_class_then_deadline) {
    admission_queue queue({});
    queue.push(make_waiting(1, request_class::background, milliseconds(50)));
    queue.push(make_waiting(2, request_class::interactive, milliseconds(900)));
    queue.push(make_waiting(3, request_class::interactive, milliseconds(100)));
    CHECK_EQUAL(3U, queue.pop(start, nanoseconds(0)).next->id);
    CHECK_EQUAL(2U, queue.pop(start, nanoseconds(0)).next->id);
    CHECK_EQUAL(1U, queue.pop(start, nanoseconds(0)).next->id);
}

// Guards against a full queue that sheds urgent requests and keeps less urgent ones.
TEST(admission_queue, full_queue_sheds_the_least_urgent_request) {
    admission_queue queue({.capacity = 2});
    queue.push(make_waiting(1, request_class::background, milliseconds(50)));
    queue.push(make_waiting(2, request_class::interactive, milliseconds(900)));
    auto const shed = queue.push(make_waiting(3, request_class::interactive, milliseconds(100)));
    CHECK_EQUAL(1U, shed->waiting.id);
    auto const shed_on_arrival =
        queue.push(make_waiting(4, request_class::background, milliseconds(10)));
    CHECK_EQUAL(4U, shed_on_arrival->waiting.id);
    CHECK_EQUAL(2U, queue.size());
}

// Guards against slots spent on requests whose caller has timed out or will time out before the
// response.
TEST(admission_queue, requests_that_would_miss_their_deadline_are_not_dispatched) {
    admission_queue queue({});
    queue.push(make_waiting(1, request_class::interactive, milliseconds(10)));
    queue.push(make_waiting(2, request_class::interactive, milliseconds(25)));
    queue.push(make_waiting(3, request_class::interactive, milliseconds(60)));
    auto const popped = queue.pop(start + milliseconds(20), milliseconds(10));
    CHECK_EQUAL(3U, popped.next->id);
    CHECK_EQUAL(2U, popped.refused.size());
    CHECK_TRUE(popped.refused[1].code == result_code::request_deadline_exceeded);
    queue.push(make_waiting(4, request_class::interactive, milliseconds(10)));
    CHECK_EQUAL(1U, queue.remove_expired(start + milliseconds(10)).size());
}

// Guards against a standing queue, which delays every request without increasing throughput.
TEST(admission_queue, standing_queue_lowers_the_delay_bound_and_an_empty_queue_resets_it) {
    admission_queue queue({});
    std::uint64_t id = 0;
    steady_time now = start;
    std::size_t refused = 0;
    for (int step = 0; step < 30; ++step) {
        queue.push(make_waiting(++id, request_class::interactive, seconds(1), now));
        now += milliseconds(10);
        refused += queue.pop(now, nanoseconds(0)).refused.size();
        queue.push(make_waiting(++id, request_class::interactive, seconds(1), now));
    }
    CHECK_TRUE(refused > 10);
    while (queue.size() > 0) {
        queue.pop(now, nanoseconds(0));
    }
    queue.push(make_waiting(++id, request_class::interactive, seconds(1), now));
    CHECK_EQUAL(id, queue.pop(now + milliseconds(20), nanoseconds(0)).next->id);
}

TEST_GROUP(concurrency_limit){};

// Guards against full concurrency at a target that slows down tenfold, and against a limit that
// stays low after the target has recovered.
TEST(concurrency_limit, tenfold_slowdown_lowers_the_limit_and_recovery_restores_it) {
    concurrency_limit limit({.slots = 12});
    for (int window = 0; window < 20; ++window) {
        limit.record_window(20, milliseconds(10));
    }
    CHECK_EQUAL(12U, limit.limit());
    for (int window = 0; window < 5; ++window) {
        limit.record_window(20, milliseconds(100));
    }
    CHECK_EQUAL(3U, limit.limit());
    for (int window = 0; window < 12; ++window) {
        limit.record_window(20, milliseconds(10));
    }
    CHECK_EQUAL(12U, limit.limit());
}
