#include "sidecar/response_link.h"

#include "core/event_loop.h"
#include "mesh/link_request.h"
#include "observability/metric_registry.h"
#include "sidecar/sidecar_metrics.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>
#include <vector>

using namespace peridot;

namespace {

namespace asio = boost::asio;

constexpr double link_megabits = 14;
constexpr std::size_t large_bytes = 90'000;
constexpr std::size_t small_bytes = 600;

asio::awaitable<void> write(response_link& link, std::string route, std::size_t bytes,
                            std::vector<std::string>& written, std::string label) {
    http_response response;
    response.body.assign(bytes, 'x');
    co_await link.await_turn(route, response, link.reserve(route, boot_clock::now()));
    written.push_back(label);
}

} // namespace

TEST_GROUP(response_link) {
    metric_registry registry;
    sidecar_metrics metrics{registry};
    event_loop context{1};
    std::vector<std::string> written;

    void spawn(response_link & link, std::string const& label, std::size_t bytes) {
        auto const route = bytes == large_bytes ? "large" : "small";
        asio::co_spawn(this->context, write(link, route, bytes, this->written, label),
                       asio::detached);
    }

    void check_order(std::vector<std::string> const& expected) {
        LONGS_EQUAL(expected.size(), this->written.size());
        for (std::size_t index = 0; index < expected.size(); ++index) {
            STRCMP_EQUAL(expected[index].c_str(), this->written[index].c_str());
        }
    }
};

// Guards against small responses that wait behind several large ones, and against large ones that
// are never written.
TEST(response_link, small_response_goes_before_waiting_large_ones) {
    response_link link(context, link_megabits, metrics);
    spawn(link, "large 1", large_bytes);
    spawn(link, "large 2", large_bytes);
    spawn(link, "large 3", large_bytes);
    spawn(link, "small", small_bytes);
    context.run_for(seconds(10));
    check_order({"large 1", "small", "large 2", "large 3"});
}

// Guards against responses that wait forever behind one whose caller has left.
TEST(response_link, cancelled_response_lets_the_next_one_go) {
    response_link link(context, link_megabits, metrics);
    asio::cancellation_signal leave;
    spawn(link, "large 1", large_bytes);
    asio::co_spawn(context, write(link, "large", large_bytes, written, "cancelled"),
                   asio::bind_cancellation_slot(leave.slot(), asio::detached));
    spawn(link, "large 3", large_bytes);
    context.poll();
    leave.emit(asio::cancellation_type::terminal);
    context.run_for(seconds(10));
    check_order({"large 1", "large 3"});
}

// Guards against a reservation that refuses requests after its own request has ended.
TEST(response_link, ended_reservation_does_not_occupy_the_link) {
    response_link link(context, link_megabits, metrics);
    spawn(link, "large 1", large_bytes);
    context.run_for(milliseconds(100));
    auto const now = boot_clock::now();
    auto const limit = now + milliseconds(200);
    {
        std::vector<std::shared_ptr<void const>> reservations;
        for (int count = 0; count < 20; ++count) {
            reservations.push_back(link.reserve("large", now));
        }
        CHECK(link.find_refusal({"large", now, limit, limit}).has_value());
    }
    CHECK(!link.find_refusal({"large", now, limit, limit}));
}

// Guards against any effect where the rate of the link is not set.
TEST(response_link, nothing_waits_without_a_rate) {
    response_link link(context, std::nullopt, metrics);
    for (int count = 0; count < 100; ++count) {
        spawn(link, "large", large_bytes);
    }
    context.poll();
    LONGS_EQUAL(100, written.size());
    CHECK(link.reserve("large", boot_clock::now()) == nullptr);
    LONGS_EQUAL(0, link.expected_delay("large", boot_clock::now()).count());
}
