#include "mesh/abandoned_work.h"
#include "mesh/gate_queue.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};
constexpr unsigned slots = 13;
constexpr milliseconds work{400};
constexpr milliseconds deadline{1500};
// Every third caller leaves this long after its request has started.
constexpr milliseconds patience{100};
constexpr milliseconds gap{25};

struct passed_request {
    std::uint64_t id = 0;
    boot_time started;
    bool has_left = false;
};

// A target that counts its own slots, behind a gate. Whether it stops its work when the caller
// leaves depends on the kind of target.
class leaving_callers_simulation {
public:
    explicit leaving_callers_simulation(bool stops_with_caller)
        : stops_with_caller(stops_with_caller) {
        this->queue.set_slots(slots);
    }

    void run(seconds duration) {
        auto next_arrival = begin;
        for (auto now = begin; now < begin + duration; now += milliseconds(1)) {
            this->end_requests(now);
            for (; next_arrival <= now; next_arrival += gap) {
                auto const id = ++this->last_id;
                auto const decision = this->queue.offer(
                    {id, "booking", 2, now + deadline, now + deadline, now + deadline}, now);
                if (std::holds_alternative<gate_start>(decision)) {
                    this->pass_on(id, now);
                }
            }
            for (auto const id : this->queue.dispatch(now).started) {
                this->pass_on(id, now);
            }
        }
    }

    int passed = 0;
    int refused_by_target = 0;
    int answered = 0;

private:
    void pass_on(std::uint64_t id, boot_time now) {
        ++this->passed;
        if (this->requests.size() >= slots) {
            ++this->refused_by_target;
            this->queue.observe_target_refusal(now);
            this->queue.finish(id, gate_queue::outcome::unanswered, now);
            return;
        }
        this->requests.push_back({id, now, false});
    }

    void end_requests(boot_time now) {
        for (auto& request : this->requests) {
            if (request.id % 3 == 0 && !request.has_left && now >= request.started + patience) {
                request.has_left = true;
                this->queue.abandon(request.id, request.started + deadline, now);
            }
            if (!request.has_left && now >= request.started + work) {
                this->queue.finish(request.id, gate_queue::outcome::succeeded, now);
                ++this->answered;
            }
        }
        std::erase_if(this->requests, [&](passed_request const& request) {
            return now >= request.started + work || (request.has_left && this->stops_with_caller);
        });
    }

    bool stops_with_caller;
    gate_queue queue;
    std::vector<passed_request> requests;
    std::uint64_t last_id = 0;
};

} // namespace

TEST_GROUP(abandoned_work){};

// Guards against requests that the target turns away because it is still at work for callers that
// have left, while the gate counts their slots as free.
TEST(abandoned_work, target_that_goes_on_refuses_few_requests) {
    leaving_callers_simulation simulation(false);
    simulation.run(seconds(20));
    CHECK(simulation.passed > 500);
    CHECK(simulation.refused_by_target * 50 <= simulation.passed);
}

// Guards against slots that stay empty at targets that stop their work with the connection.
TEST(abandoned_work, target_that_stops_keeps_all_slots) {
    leaving_callers_simulation simulation(true);
    simulation.run(seconds(20));
    LONGS_EQUAL(0, simulation.refused_by_target);
    // Of three requests, two take 400 ms and one 100 ms.
    CHECK(simulation.passed >= 780);
}

// Guards against a lasting loss of slots after a refusal that had another cause.
TEST(abandoned_work, presumption_ends) {
    abandoned_work work_left;
    work_left.add(begin + seconds(60), begin);
    LONGS_EQUAL(0, work_left.held_slots(begin));
    work_left.observe_refusal(begin);
    LONGS_EQUAL(1, work_left.held_slots(begin + seconds(5)));
    LONGS_EQUAL(0, work_left.held_slots(begin + seconds(11)));
}

// Guards against slots that are held although the work has ended, and against a refusal that has
// nothing to do with callers that have left.
TEST(abandoned_work, only_unfinished_work_holds_slots) {
    abandoned_work work_left;
    work_left.add(begin + milliseconds(200), begin);
    work_left.add(begin + milliseconds(100), begin);
    work_left.observe_refusal(begin);
    LONGS_EQUAL(2, work_left.held_slots(begin));
    LONGS_EQUAL(1, work_left.held_slots(begin + milliseconds(100)));
    CHECK(work_left.expected_ends(begin + milliseconds(100)).front() == begin + milliseconds(200));
    LONGS_EQUAL(0, work_left.held_slots(begin + milliseconds(200)));
    abandoned_work nothing_left;
    nothing_left.observe_refusal(begin);
    nothing_left.add(begin + seconds(1), begin);
    LONGS_EQUAL(0, nothing_left.held_slots(begin));
}
