#include "routing/retry_decision.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

using namespace peridot;

namespace {

steady_time const start{std::chrono::hours(1)};

retry_decision decide(failed_attempt const& attempt, idempotence kind, milliseconds remaining,
                      double capacity = 10.0) {
    retry_budget budget({.ratio = 0.1, .capacity = capacity});
    random_source random(7);
    return decide_retry(attempt, kind, deadline_after(start, remaining), budget, {}, start, random);
}

bool is_retried(retry_decision const& decision) {
    return std::holds_alternative<retry_elsewhere>(decision);
}

/// A chain of services in which each hop calls the next and the last always fails.
class call_chain {
public:
    call_chain(std::size_t depth, attempt_outcome outcome, result_code code)
        : last_outcome(outcome), last_code(code), budgets(depth) {}

    /// Calls the service at the given hop. The answer contains the attempt number.
    failed_attempt call(std::size_t hop, unsigned attempt) {
        if (hop == this->budgets.size()) {
            ++this->calls_to_last_service;
            return {this->last_outcome, this->last_code, attempt};
        }
        this->budgets[hop].record_request();
        unsigned sent = attempt;
        while (true) {
            auto const failed = this->call(hop + 1, sent);
            auto const decision =
                decide_retry(failed, idempotence::idempotent, deadline_after(start, seconds(5)),
                             this->budgets[hop], {}, start, this->random);
            if (auto const* const end = std::get_if<give_up>(&decision)) {
                return {end->outcome, end->code, end->attempt};
            }
            sent = std::get<retry_elsewhere>(decision).attempt;
        }
    }

    std::size_t calls_to_last_service = 0;

private:
    attempt_outcome last_outcome;
    result_code last_code;
    std::vector<retry_budget> budgets;
    random_source random{11};
};

double amplification(attempt_outcome outcome, result_code code) {
    constexpr std::size_t depth = 11;
    constexpr std::size_t requests = 10000;
    call_chain chain(depth, outcome, code);
    for (std::size_t request = 0; request < requests; ++request) {
        chain.call(0, 1);
    }
    double const ratio = static_cast<double>(chain.calls_to_last_service) / requests;
    std::printf("\ncalls to the last service per request, %s: %.4f\n", name(code).data(), ratio);
    return ratio;
}

} // namespace

TEST_GROUP(retry){};

// Guards against double execution of a non-idempotent request, such as a refund that is paid twice.
TEST(retry, a_non_idempotent_request_is_retried_only_after_not_run) {
    failed_attempt const refused{attempt_outcome::not_run, result_code::request_connect_failed, 1};
    failed_attempt const lost{attempt_outcome::unknown, result_code::request_outcome_unknown, 1};
    CHECK_TRUE(is_retried(decide(refused, idempotence::non_idempotent, seconds(1))));
    CHECK_FALSE(is_retried(decide(lost, idempotence::non_idempotent, seconds(1))));
    CHECK_TRUE(is_retried(decide(lost, idempotence::idempotent, seconds(1))));
}

// Guards against a second execution of a request whose answer has already been received.
TEST(retry, a_request_that_ran_is_not_retried) {
    failed_attempt const ran{attempt_outcome::run, result_code::request_overloaded, 1};
    CHECK_FALSE(is_retried(decide(ran, idempotence::idempotent, seconds(1))));
}

// Guards against retries that cannot finish before the deadline, that exceed the budget, or that
// every other endpoint would also refuse.
TEST(retry, deadline_budget_and_result_code_limit_retries) {
    failed_attempt const refused{attempt_outcome::not_run, result_code::request_draining, 1};
    failed_attempt const limited{attempt_outcome::not_run, result_code::request_limit_exceeded, 1};
    CHECK_FALSE(is_retried(decide(refused, idempotence::idempotent, milliseconds(1))));
    CHECK_FALSE(is_retried(decide(refused, idempotence::idempotent, seconds(1), 0.0)));
    CHECK_FALSE(is_retried(decide(limited, idempotence::idempotent, seconds(1))));
}

// Guards against an overload refusal that is retried by every hop of the call chain.
TEST(retry, an_overload_refusal_of_a_retry_is_final_for_all_hops) {
    failed_attempt const again{attempt_outcome::not_run, result_code::request_overloaded, 2};
    auto const decision = decide(again, idempotence::idempotent, seconds(1));
    CHECK_FALSE(is_retried(decision));
    CHECK_EQUAL(3U, std::get<give_up>(decision).attempt);
    failed_attempt const first{attempt_outcome::not_run, result_code::request_overloaded, 1};
    auto const without_budget = decide(first, idempotence::idempotent, seconds(1), 0.0);
    CHECK_EQUAL(3U, std::get<give_up>(without_budget).attempt);
}

// Guards against retry amplification that grows with the depth of the call chain. The load of a
// failing service must stay below 1.2 times its traffic.
TEST(retry, amplification_at_depth_11_stays_under_1_2) {
    CHECK_TRUE(amplification(attempt_outcome::not_run, result_code::request_overloaded) < 1.2);
    CHECK_TRUE(amplification(attempt_outcome::not_run, result_code::request_draining) < 1.2);
    CHECK_TRUE(amplification(attempt_outcome::unknown, result_code::request_outcome_unknown) < 1.2);
}

// Guards against a race in which several workers together overdraw the budget.
TEST(retry, concurrent_workers_do_not_overdraw_the_budget) {
    retry_budget budget({.ratio = 0.0, .capacity = 1000.0});
    std::atomic<int> taken{0};
    std::vector<std::thread> workers;
    for (int worker = 0; worker < 4; ++worker) {
        workers.emplace_back([&] {
            for (int attempt = 0; attempt < 1000; ++attempt) {
                taken += budget.try_take() ? 1 : 0;
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    CHECK_EQUAL(1000, taken.load());
}

// Guards against callers that failed at the same time and also retry at the same time.
TEST(retry, backoff_is_jittered_and_bounded) {
    random_source random(3);
    nanoseconds shortest = nanoseconds::max();
    nanoseconds longest{0};
    for (int draw = 0; draw < 1000; ++draw) {
        auto const delay = retry_backoff(3, {milliseconds(2), milliseconds(100)}, random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    CHECK_TRUE(shortest < milliseconds(1));
    CHECK_TRUE(longest > milliseconds(7) && longest <= milliseconds(8));
    CHECK_TRUE(retry_backoff(60, {milliseconds(2), milliseconds(100)}, random) <=
               milliseconds(100));
}

TEST_GROUP(deadline){};

// Guards against hops that gain time by rounding, and against header values that are not durations.
TEST(deadline, time_left_never_grows_and_malformed_text_is_rejected) {
    auto const end = deadline_after(start, milliseconds(100));
    STRCMP_EQUAL(
        "98", format_time_left(time_left_for_next_hop(end, start + std::chrono::microseconds(200)))
                  .c_str());
    STRCMP_EQUAL("0", format_time_left(time_left_for_next_hop(end, start + seconds(1))).c_str());
    CHECK_TRUE(is_expired(end, start + milliseconds(100)));
    CHECK_TRUE(value(parse_time_left("250")) == milliseconds(250));
    for (auto const* const text :
         {"", "-1", "1.5", "12ms", " 3", "99999999999999999999", "600001"}) {
        CHECK_FALSE(is_ok(parse_time_left(text)));
    }
}
