#include "admission/admission_controller.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

using namespace peridot;

namespace {

steady_time const start{std::chrono::hours(1)};

admission_options one_slot() {
    return {.limit = {.slots = 1}, .queue = {.bound = queue_bound::deadline}};
}

admission_request make_request(milliseconds timeout = seconds(1)) {
    return {request_class::interactive, start + timeout, start};
}

/// Runs posted functions in order on one thread, like an io_context with a single thread.
class owner_thread {
public:
    owner_thread() : worker([this] { this->run(); }) {}

    ~owner_thread() {
        this->post(nullptr);
        this->worker.join();
    }

    owner_thread(owner_thread const&) = delete;
    owner_thread& operator=(owner_thread const&) = delete;
    owner_thread(owner_thread&&) = delete;
    owner_thread& operator=(owner_thread&&) = delete;

    void post(std::function<void()> function) {
        std::lock_guard const guard(this->mutex);
        this->functions.push_back(std::move(function));
        this->changed.notify_one();
    }

private:
    void run() {
        while (true) {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return !this->functions.empty(); });
            auto const function = std::move(this->functions.front());
            this->functions.pop_front();
            lock.unlock();
            if (!function) {
                return;
            }
            function();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> functions;
    std::thread worker;
};

} // namespace

TEST_GROUP(admission_controller) {
    steady_time now = start;
    admission_controller controller{one_slot(), [](auto function) { function(); },
                                    [this] { return this->now; }};
    std::vector<result<admission_permit>> decisions;

    admission_callback record_decision() {
        return [this](auto decision) { this->decisions.push_back(std::move(decision)); };
    }
};

// Guards against requests that wait although a slot is free, and against lost wake-ups.
TEST(admission_controller, released_slot_is_granted_to_a_waiting_request) {
    auto const first = this->controller.try_admit(make_request(), this->now);
    CHECK_TRUE(std::holds_alternative<admission_permit>(first));
    CHECK_TRUE(
        std::holds_alternative<must_wait>(this->controller.try_admit(make_request(), this->now)));
    this->controller.wait(make_request(), this->record_decision());
    CHECK_TRUE(this->decisions.empty());
    this->now += milliseconds(7);
    this->controller.release(std::get<admission_permit>(first), this->now);
    CHECK_EQUAL(1U, this->decisions.size());
    CHECK_TRUE(value(this->decisions[0]).waited == milliseconds(7));
    CHECK_EQUAL(1U, this->controller.in_flight());
}

// Guards against cancelled or expired requests that occupy a slot or stay in the queue.
TEST(admission_controller, cancelled_and_expired_requests_are_removed_from_the_queue) {
    auto const first = this->controller.try_admit(make_request(), this->now);
    auto const cancelled = this->controller.wait(make_request(), this->record_decision());
    this->controller.wait(make_request(milliseconds(10)), this->record_decision());
    this->controller.cancel(cancelled);
    CHECK_TRUE(failure(this->decisions[0]).code == result_code::request_cancelled);
    this->now += milliseconds(20);
    this->controller.tick();
    CHECK_TRUE(failure(this->decisions[1]).code == result_code::request_deadline_exceeded);
    this->controller.cancel(cancelled);
    this->controller.release(std::get<admission_permit>(first), this->now);
    CHECK_EQUAL(2U, this->decisions.size());
    CHECK_EQUAL(0U, this->controller.in_flight() + this->controller.waiting());
    CHECK_TRUE(std::holds_alternative<error>(
        this->controller.try_admit(make_request(milliseconds(20)), this->now)));
}

// Guards against a drain that aborts waiting or running requests, or that admits new ones.
TEST(admission_controller, drain_refuses_new_requests_and_completes_existing_ones) {
    auto const first = this->controller.try_admit(make_request(), this->now);
    this->controller.wait(make_request(), this->record_decision());
    this->controller.start_drain();
    auto const refused = this->controller.try_admit(make_request(), this->now);
    CHECK_TRUE(std::get<error>(refused).code == result_code::request_draining);
    this->controller.release(std::get<admission_permit>(first), this->now);
    CHECK_FALSE(this->controller.is_drained());
    this->controller.release(value(this->decisions.at(0)), this->now);
    CHECK_TRUE(this->controller.is_drained());
}

// Guards against a saturated target that reports low pressure to its callers.
TEST(admission_controller, pressure_rises_with_slot_usage_and_queue_length) {
    CHECK_EQUAL(0U, this->controller.pressure());
    for (int request = 0; request < 20; ++request) {
        auto const held = this->controller.try_admit(make_request(), this->now);
        this->now += milliseconds(10);
        this->controller.release(std::get<admission_permit>(held), this->now);
    }
    this->controller.tick();
    auto const held = this->controller.try_admit(make_request(), this->now);
    CHECK_TRUE(std::holds_alternative<admission_permit>(held));
    CHECK_EQUAL(50U, this->controller.pressure());
    for (int request = 0; request < 10; ++request) {
        this->controller.wait(make_request(), this->record_decision());
    }
    CHECK_EQUAL(100U, this->controller.pressure());
}

// Guards against lost wake-ups, duplicate decisions and more running requests than slots when
// several worker threads share a controller.
TEST(admission_controller, concurrent_workers_never_exceed_the_slots_or_lose_requests) {
    constexpr int workers = 4;
    constexpr int requests = 2000;
    constexpr int slots = 3;
    std::atomic<int> running{0};
    std::atomic<int> peak_running{0};
    std::atomic<int> done{0};
    owner_thread owner;
    admission_controller shared(
        {.limit = {.slots = slots, .minimum_slot_fraction = 1.0},
         .queue = {.capacity = 10000, .bound = queue_bound::deadline}},
        [&](auto function) { owner.post(std::move(function)); }, [] { return start; });
    auto const work = [&](admission_permit const& permit) {
        int const current = ++running;
        int previous_peak = peak_running.load();
        while (previous_peak < current &&
               !peak_running.compare_exchange_weak(previous_peak, current)) {
        }
        --running;
        shared.release(permit, start);
        ++done;
    };
    std::vector<std::thread> threads;
    for (int worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&] {
            for (int index = 0; index < requests; ++index) {
                auto const first = shared.try_admit(make_request(), start);
                if (auto const* const permit = std::get_if<admission_permit>(&first)) {
                    work(*permit);
                } else {
                    shared.wait(make_request(), [&](auto decision) { work(value(decision)); });
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    while (done.load() < workers * requests) {
        std::this_thread::yield();
    }
    CHECK_TRUE(peak_running.load() <= slots);
}
