#include "sidecar/request_observer.h"

#include "moves/latency_buckets.h"
#include "sidecar/observed_request.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace peridot;

TEST_GROUP(request_observer) {
    std::shared_ptr<request_observer> observer = std::make_shared<request_observer>();
    boot_time const start{seconds(100)};

    void setup() override {
        this->observer->set_rollout("r3");
    }

    std::uint64_t send() {
        return this->observer->start("balance", target_side::new_version, 50, this->start);
    }

    version_evidence counts(boot_time now) {
        return pooled(this->observer->counts(now)).new_version;
    }

    static event_sample slow(version_evidence const& counts, milliseconds limit) {
        return slow_calls(counts, latency_buckets::index(limit));
    }
};

// Guards against a slow version whose slow requests are no evidence until they end: a share was
// raised to all requests before the first slow answer (review/4, EXPOSURE).
TEST(request_observer, request_in_progress_counts_as_slow_once_it_has_lasted_long_enough) {
    send();
    CHECK_EQUAL(0U, slow(counts(start + milliseconds(300)), milliseconds(600)).calls);
    CHECK_EQUAL(1U, slow(counts(start + milliseconds(700)), milliseconds(600)).events);
    CHECK_EQUAL(1U, slow(counts(start + milliseconds(900)), milliseconds(600)).events);
    CHECK_EQUAL(0U, counts(start + milliseconds(900)).calls);
}

// Guards against a slow version whose callers do not wait for its answers and that seems as quick
// as the old one (review/4, EXPOSURE).
TEST(request_observer, abandoned_request_counts_for_as_long_as_its_caller_waited) {
    observer->finish(send(), call_outcome::abandoned, start + milliseconds(700));
    auto const seen = counts(start + seconds(5));
    CHECK_EQUAL(1U, slow(seen, milliseconds(600)).events);
    CHECK_EQUAL(0U, slow(seen, seconds(2)).calls);
    CHECK_EQUAL(0U, seen.calls);
    CHECK_EQUAL(0U, seen.failures);
    CHECK_EQUAL(1U, sent_calls(seen));
}

// Guards against a request that is counted twice in a latency bucket, once in progress and once
// when it ends; judges refuse such counts.
TEST(request_observer, request_is_counted_once_in_each_bucket) {
    auto const number = send();
    for (auto elapsed = milliseconds(0); elapsed < milliseconds(800); elapsed += milliseconds(80)) {
        counts(start + elapsed);
    }
    observer->finish(number, call_outcome::succeeded, start + milliseconds(800));
    observer->finish(number, call_outcome::failed, start + milliseconds(900));
    auto const seen = counts(start + seconds(5));
    CHECK_EQUAL(1U, seen.calls);
    CHECK_EQUAL(0U, seen.failures);
    CHECK_EQUAL(1U, slow(seen, milliseconds(600)).events);
    CHECK(is_valid_successor(seen, {}));
}

// Guards against a long body that makes a quick target seem slow.
TEST(request_observer, latency_ends_with_the_start_of_the_response) {
    auto const number = send();
    observer->set_response_started(number, start + milliseconds(100));
    CHECK_EQUAL(0U, slow(counts(start + seconds(3)), milliseconds(600)).events);
    observer->finish(number, call_outcome::succeeded, start + seconds(4));
    CHECK_EQUAL(0U, slow(counts(start + seconds(5)), milliseconds(600)).events);
    CHECK_EQUAL(1U, counts(start + seconds(5)).calls);
}

// Guards against a way out of the code that serves a request and loses its observation.
TEST(request_observer, request_that_is_dropped_without_a_result_is_abandoned) {
    { observed_request const dropped(observer, send()); }
    CHECK_EQUAL(1U, sent_calls(counts(boot_clock::now())));
    CHECK_EQUAL(0U, counts(boot_clock::now()).calls);
}

// Guards against requests that another roll-out, or none, has sent.
TEST(request_observer, requests_count_only_for_the_rollout_that_they_were_sent_in) {
    auto const number = send();
    observer->set_rollout("r4");
    observer->finish(number, call_outcome::failed, start + milliseconds(700));
    observer->finish(observer->start("balance", std::nullopt, 50, start), call_outcome::failed,
                     start + milliseconds(700));
    CHECK_EQUAL(0U, sent_calls(counts(start + seconds(5))));
}
