#include "mesh/configuration_content.h"
#include "mesh/mesh_configuration.h"
#include "observability/gauge.h"
#include "observability/metric_registry.h"
#include "quotas/quota_message.h"
#include "sidecar/quota_agent.h"
#include "sidecar/sidecar_metrics.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <optional>

using namespace peridot;

namespace asio = boost::asio;

namespace {

std::shared_ptr<fleet_view const> make_view(std::uint64_t version, double requests_per_second) {
    configuration_content content;
    content.version = version;
    workspace limited;
    limited.name = "bakery";
    limited.rate_per_second = requests_per_second;
    content.workspaces.push_back(limited);
    auto view = std::make_shared<fleet_view>();
    view->configuration = std::make_shared<mesh_configuration const>(std::move(content));
    // This member never answers: nothing can be sent to its address.
    member silent;
    silent.instance = "silent";
    silent.ip = "127.0.0.1";
    view->members["deposits"].push_back(silent);
    return view;
}

} // namespace

// An agent whose pools do not answer.
TEST_GROUP(quota_agent) {
    asio::io_context context{1};
    rcu_cell<fleet_view> views{make_view(1, 10)};
    metric_registry registry;
    sidecar_metrics metrics{registry};
    quota_agent agent{context, "own", {"127.0.0.1", 0}, 0, views, metrics};
    std::optional<quota_decision> decision;
    asio::cancellation_signal leaving;

    void setup() override {
        CHECK(is_ok(agent.listen()));
        agent.view_changed();
    }

    void acquire() {
        this->decision.reset();
        asio::co_spawn(
            this->context, this->agent.acquire("bakery"),
            asio::bind_cancellation_slot(
                this->leaving.slot(),
                [this](std::exception_ptr const&, quota_decision made) { this->decision = made; }));
        this->context.poll();
    }

    void run_until_decided() {
        while (!this->decision && this->context.run_one() > 0) {
        }
    }
};

// Guards against a process that ends with an exception when a configuration ends the quota of a
// workspace whose request waits for a token.
TEST(quota_agent, request_is_admitted_when_its_quota_ends) {
    acquire();
    CHECK_FALSE(decision.has_value());
    views.replace(make_view(2, 0));
    agent.view_changed();
    run_until_decided();
    CHECK(std::holds_alternative<quota_admission>(*decision));
}

// Guards against requests that wait without bound for a pool that does not answer.
TEST(quota_agent, request_does_not_wait_for_silent_pools) {
    acquire();
    run_until_decided();
    CHECK(std::holds_alternative<quota_unavailable>(*decision));
}

// Guards against a waiting request that stays in the agent's list after its client has left.
TEST(quota_agent, client_may_leave_while_its_request_waits) {
    acquire();
    leaving.emit(asio::cancellation_type::terminal);
    run_until_decided();
    acquire();
    run_until_decided();
    CHECK(std::holds_alternative<quota_unavailable>(*decision));
}

// Guards against a stop of the node that destroys waiting requests after what they refer to.
TEST(quota_agent, may_end_while_a_request_waits) {
    acquire();
    CHECK_FALSE(decision.has_value());
}

// Guards against nodes whose target has left, and that still serve callers, being refused every
// request of a workspace with a quota: their questions were not answered.
TEST(quota_agent, node_without_a_member_record_gets_an_answer) {
    using udp = asio::ip::udp;
    udp::socket asker(context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    udp::socket reserved(context, udp::endpoint(asio::ip::make_address("127.0.0.2"), 0));
    auto const lender_address = reserved.local_endpoint();
    reserved.close();
    quota_agent lender(context, "lender", {"127.0.0.2", lender_address.port()}, 0, views, metrics);
    CHECK(is_ok(lender.listen()));
    lender.view_changed();
    quota_message const question{"unknown", 7, 0, milliseconds(600), false, {}};
    asker.send_to(asio::buffer(encode_quota_message(question)), lender_address);
    std::array<char, 2048> buffer{};
    std::optional<std::size_t> received;
    asker.async_receive(asio::buffer(buffer),
                        [&](boost::system::error_code, std::size_t size) { received = size; });
    auto const limit = std::chrono::steady_clock::now() + seconds(10);
    while (!received && std::chrono::steady_clock::now() < limit) {
        context.run_one_until(limit);
    }
    CHECK(received.has_value());
    auto const answer = decode_quota_message({buffer.data(), *received});
    CHECK(is_ok(answer));
    CHECK(value(answer).is_answer);
    CHECK(value(answer).sequence == 7);
    LONGS_EQUAL(0, metrics.quota_share_lent.value());
}
