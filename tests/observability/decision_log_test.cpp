#include "observability/decision_log.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <thread>

using namespace peridot;

namespace {

decision decision_about(std::string subject, int number) {
    return {wall_time(milliseconds(number)),
            "move_taken_back",
            std::move(subject),
            "failure_share",
            {{"calls", number}}};
}

} // namespace

TEST_GROUP(decision_log){};

// Guards against returning decisions about other subjects and against losing the latest decisions.
TEST(decision_log, latest_decisions_are_found_by_subject) {
    decision_log log(3);
    for (int number = 0; number < 5; ++number) {
        log.record(decision_about(number % 2 == 0 ? "moves/even" : "moves/odd", number));
    }
    UNSIGNED_LONGS_EQUAL(2, log.discarded());
    auto const even = log.find_by_subject("moves/even");
    UNSIGNED_LONGS_EQUAL(2, even.size());
    UNSIGNED_LONGS_EQUAL(1, log.latest(1).size());
    UNSIGNED_LONGS_EQUAL(3, log.latest(9).size());
    STRCMP_EQUAL(R"({"time_ms":4,"kind":"move_taken_back","subject":"moves/even",)"
                 R"("reason":"failure_share","figures":{"calls":4}})",
                 boost::json::serialize(to_json(even).at(1)).c_str());
}

// Guards against data races between recording threads and queries.
TEST(decision_log, concurrent_records_are_all_counted) {
    constexpr int records = 1'000;
    decision_log log(16);
    auto const work = [&log] {
        for (int number = 0; number < records; ++number) {
            log.record(decision_about("moves/1", number));
        }
    };
    std::thread first(work);
    std::thread second(work);
    for (int query = 0; query < 50; ++query) {
        CHECK_TRUE(log.find_by_subject("moves/1").size() <= 16);
    }
    first.join();
    second.join();
    UNSIGNED_LONGS_EQUAL(2 * records - 16, log.discarded());
}
