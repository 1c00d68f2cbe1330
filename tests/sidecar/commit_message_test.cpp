#include "sidecar/commit_message.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(commit_message) {
    std::vector<replica_row> rows{{"peridot", "member/a", "{\"ip\": \"10.0.0.1\"}", 7, false},
                                  {"status", "rollout/b", "running", 0, false}};

    static commit_outcome round_trip(commit_outcome const& outcome) {
        return read_commit_outcome(write_commit_outcome(outcome));
    }
};

TEST(commit_message, rows_round_trip) {
    auto const request = write_commit_request(rows);
    CHECK(is_commit_request(request));
    CHECK(read_commit_request(request) == rows);
}

TEST(commit_message, outcomes_round_trip) {
    auto const done = round_trip(commit_done{9, milliseconds(1234)});
    UNSIGNED_LONGS_EQUAL(9, std::get<commit_done>(done).revision.number);
    LONGS_EQUAL(1234, std::get<commit_done>(done).store_time.count());
    auto const conflict = round_trip(commit_conflict{{{"peridot", "member/a", "other", 8, false}}});
    STRCMP_EQUAL("other", std::get<commit_conflict>(conflict).rows.at(0).value.c_str());
    auto const failed = round_trip(error{result_code::platform_throttled, "too many calls"});
    CHECK(std::get<error>(failed).code == result_code::platform_throttled);
}

// Guards against rows that are reported as written although the response of the writing node was
// truncated.
TEST(commit_message, truncated_outcome_leaves_the_result_unknown) {
    auto answer = write_commit_outcome(commit_done{9, milliseconds(1234)});
    auto const complete = answer.body;
    for (std::size_t length = 0; length < complete.size(); ++length) {
        answer.body = complete.substr(0, length);
        auto const outcome = read_commit_outcome(answer);
        CHECK(std::get<error>(outcome).code == result_code::platform_answer_lost);
    }
}

// Guards against a node that writes rows of a malformed request.
TEST(commit_message, malformed_request_is_refused) {
    auto request = write_commit_request(rows);
    request.body.resize(request.body.size() - 1);
    CHECK_FALSE(read_commit_request(request).has_value());
    request.body = R"([{"table": "peridot"}])";
    CHECK_FALSE(read_commit_request(request).has_value());
}

// Guards against a write by way of another node whose result loses its era.
TEST(commit_message, eras_round_trip) {
    auto const done =
        read_commit_outcome(write_commit_outcome(commit_done{{2, 9}, milliseconds(5)}));
    CHECK(std::get<commit_done>(done).revision == store_revision(2, 9));
    replica_row const row{"peridot", "member/a", "text", {2, 7}, false};
    CHECK(read_commit_request(write_commit_request({row}))->front() == row);
}
