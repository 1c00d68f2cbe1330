#include "sidecar/row_exchange_message.h"

#include <CppUTest/TestHarness.h>

#include <cstring>
#include <limits>

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

// Guards against rows that are altered by the exchange between nodes.
TEST(row_exchange_message, page_round_trips) {
    auto const page = make_page();
    auto const read = read_row_page(write_row_page(page));
    CHECK(is_ok(read));
    CHECK(value(read).covered == page.covered);
    CHECK(value(read).is_current);
    CHECK(value(read).rows == page.rows);
}

// Guards against a large configuration that saturates the links of small instances when it is
// transferred between nodes (kcg-mesh-grown scale-2).
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

TEST(row_exchange_message, query_round_trips) {
    row_query query{{{"op", 7}, {"peridot", 0}}, milliseconds(700), false};
    auto const read = read_row_query(write_row_query(query));
    CHECK(read.has_value());
    CHECK(read->held == query.held);
    LONGS_EQUAL(700, read->max_wait.count());
    CHECK_FALSE(read->is_revisions_only);
    query.is_revisions_only = true;
    CHECK(read_row_query(write_row_query(query))->is_revisions_only);
}

// Guards against a query that occupies a connection indefinitely.
TEST(row_exchange_message, wait_is_bounded) {
    LONGS_EQUAL(5000, read_row_query(get("/rows?hold=99999999999"))->max_wait.count());
}

TEST(row_exchange_message, other_requests_are_not_queries) {
    CHECK_FALSE(read_row_query(get("/metrics")).has_value());
    CHECK_FALSE(read_row_query(get("/rows?hold=x")).has_value());
    CHECK_FALSE(read_row_query(get("/rows?op=-1")).has_value());
    CHECK_FALSE(read_row_query(get("rows")).has_value());
    auto posted = get("/rows?hold=1");
    posted.method = "POST";
    CHECK_FALSE(read_row_query(posted).has_value());
}

// Guards against a truncated page that is accepted as complete: its revisions would claim rows that
// the node does not hold.
TEST(row_exchange_message, malformed_pages_are_refused) {
    auto answer = write_row_page(make_page());
    auto const complete = answer.body;
    for (std::size_t length = 0; length < complete.size(); ++length) {
        answer.body = complete.substr(0, length);
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

// Guards against a node that never learns the store's clock, since it gets all rows from others.
TEST(row_exchange_message, store_time_round_trips_at_its_limits) {
    for (milliseconds const time :
         {milliseconds(0), milliseconds(1'796'490'000'000), milliseconds::max()}) {
        auto page = make_page();
        page.store_time = time;
        CHECK(value(read_row_page(write_row_page(page))).store_time == time);
    }
    CHECK_FALSE(value(read_row_page(write_row_page(make_page()))).store_time.has_value());
    auto answer = write_row_page(make_page());
    answer.headers.set("Peridot-Store-Time", "18446744073709551615");
    CHECK(is_ok(read_row_page(answer)));
    CHECK_FALSE(value(read_row_page(answer)).store_time.has_value());
}

// Guards against revisions that lose digits between nodes.
TEST(row_exchange_message, revisions_round_trip_at_the_limit_of_their_type) {
    auto const limit = std::numeric_limits<std::uint64_t>::max();
    auto page = make_page();
    page.covered["op"] = limit;
    page.rows.front().revision = limit;
    auto const read = read_row_page(write_row_page(page));
    CHECK(value(read).covered == page.covered);
    CHECK(value(read).rows == page.rows);
    row_query const query{{{"op", limit}}, milliseconds(700), false};
    CHECK(read_row_query(write_row_query(query))->held == query.held);
}

// Guards against nodes that compare revisions of different eras of the store, since the era got
// lost between them.
TEST(row_exchange_message, eras_round_trip) {
    auto page = make_page();
    page.covered["op"] = {2, 7};
    page.covered["peridot"] = {3, 0};
    page.rows.front().revision = {2, 7};
    page.store_time = milliseconds(40);
    page.clock_era = 3;
    auto const read = read_row_page(write_row_page(page));
    CHECK(value(read) == page);
    row_query const query{{{"op", {2, 7}}, {"peridot", {1, 32}}}, milliseconds(700), false};
    CHECK(read_row_query(write_row_query(query))->held == query.held);
}

// Guards against messages that nodes of an earlier release cannot read, for a store without eras.
TEST(row_exchange_message, revisions_without_an_era_are_written_as_before) {
    auto const answer = write_row_page(make_page());
    POINTERS_EQUAL(nullptr, std::strstr(answer.body.c_str(), "era"));
    row_query const query{{{"op", 7}}, milliseconds(700), false};
    STRCMP_EQUAL("/rows?hold=700&op=7", write_row_query(query).target.c_str());
}
