#include "sidecar/row_exchange_message.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

row_page make_page() {
    return {
        {{"op", 12}, {"peridot", 15}},
        true,
        {{"op", "config", "{\"quoted\": \"text\"}", 12, false}, {"peridot", "gone", "", 15, true}}};
}

http_request get(std::string const& target) {
    http_request request;
    request.method = "GET";
    request.target = target;
    return request;
}

} // namespace

TEST_GROUP(row_exchange_message){};

// Guards against rows that change on their way from node to node.
TEST(row_exchange_message, page_is_read_as_written) {
    auto const page = make_page();
    auto const read = read_row_page(write_row_page(page));
    CHECK(is_ok(read));
    CHECK(value(read).covered == page.covered);
    CHECK(value(read).is_current);
    CHECK(value(read).rows == page.rows);
}

// Guards against a large configuration that fills the links of small instances on its way from
// node to node (kcg-mesh-grown scale-2).
TEST(row_exchange_message, large_page_is_compressed) {
    auto page = make_page();
    for (int route = 0; route < 800; ++route) {
        page.rows.front().value +=
            R"({"TypeUrl":"Routes","Spec":{"Host":"mesh.example","Prefix":"/r)" +
            std::to_string(route * 7919) + "/\"}},";
    }
    auto answer = write_row_page(page);
    CHECK(answer.body.size() * 4 < page.rows.front().value.size());
    CHECK(value(read_row_page(answer)).rows == page.rows);
    answer.body.resize(answer.body.size() / 2);
    CHECK_FALSE(is_ok(read_row_page(answer)));
}

TEST(row_exchange_message, question_is_read_as_written) {
    row_question question{{{"op", 7}, {"peridot", 0}}, milliseconds(700), false};
    auto const read = read_row_question(write_row_question(question));
    CHECK(read.has_value());
    CHECK(read->held == question.held);
    LONGS_EQUAL(700, read->hold.count());
    CHECK_FALSE(read->is_comparison);
    question.is_comparison = true;
    CHECK(read_row_question(write_row_question(question))->is_comparison);
}

// Guards against a question that keeps a connection for as long as it likes.
TEST(row_exchange_message, hold_is_bounded) {
    LONGS_EQUAL(5000, read_row_question(get("/rows?hold=99999999999"))->hold.count());
}

TEST(row_exchange_message, other_requests_are_no_questions) {
    CHECK_FALSE(read_row_question(get("/metrics")).has_value());
    CHECK_FALSE(read_row_question(get("/rows?hold=x")).has_value());
    CHECK_FALSE(read_row_question(get("/rows?op=-1")).has_value());
    CHECK_FALSE(read_row_question(get("rows")).has_value());
    auto posted = get("/rows?hold=1");
    posted.method = "POST";
    CHECK_FALSE(read_row_question(posted).has_value());
}

// Guards against a part of a spoilt answer that is taken for the whole: its revisions would claim
// rows which the node does not hold.
TEST(row_exchange_message, spoilt_pages_are_refused_as_a_whole) {
    auto answer = write_row_page(make_page());
    auto const whole = answer.body;
    for (std::size_t length = 0; length < whole.size(); ++length) {
        answer.body = whole.substr(0, length);
        CHECK_FALSE(is_ok(read_row_page(answer)));
    }
    for (char const* text : {"[]", "{}", R"({"covered":{"op":-1},"current":true,"rows":[]})",
                             R"({"covered":{},"current":1,"rows":[]})",
                             R"({"covered":{},"current":true,"rows":[{}]})"}) {
        answer.body = text;
        CHECK_FALSE(is_ok(read_row_page(answer)));
    }
    answer = write_row_page(make_page());
    answer.status = 503;
    CHECK_FALSE(is_ok(read_row_page(answer)));
}
