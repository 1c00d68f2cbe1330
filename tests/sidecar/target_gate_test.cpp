#include "sidecar/target_gate.h"

#include "core/event_loop.h"
#include "core/rcu_cell.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "mesh/fleet_view.h"
#include "mesh/target_record.h"
#include "observability/metric_registry.h"
#include "sidecar/response_link.h"
#include "sidecar/rollout_evidence.h"
#include "sidecar/sidecar_metrics.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <memory>
#include <string>

using namespace peridot;

namespace {

namespace asio = boost::asio;

constexpr unsigned slots = 4;
constexpr std::string_view target_id = "i-1";

// A target that counts its own slots, refuses requests beyond them, and goes on with its work when
// a caller leaves.
class counting_target {
public:
    explicit counting_target(asio::io_context& io)
        : context(io)
        , server(io, [this](http_request request) { return this->respond(std::move(request)); }) {
        this->address = value(this->server.listen({"127.0.0.1", 0}));
    }

    socket_address address;
    milliseconds work_time{0};
    unsigned refused = 0;

private:
    asio::awaitable<void> occupy_slot(milliseconds time) {
        ++this->in_use;
        asio::steady_timer work(this->context, time);
        co_await work.async_wait(asio::use_awaitable);
        --this->in_use;
    }

    asio::awaitable<http_response> respond(http_request request) {
        http_response answer;
        answer.headers.set("X-Attempt-Id", request.headers.value("X-Attempt-Id"));
        if (this->in_use >= slots) {
            ++this->refused;
            answer.status = 503;
            answer.headers.set("X-Not-Executed", "1");
            co_return answer;
        }
        answer.headers.set("X-Server-Seal", "seal");
        asio::co_spawn(this->context, this->occupy_slot(this->work_time), asio::detached);
        // The slot is free by the time of the response.
        asio::steady_timer work(this->context, this->work_time + milliseconds(1));
        co_await work.async_wait(asio::use_awaitable);
        co_return answer;
    }

    asio::io_context& context;
    unsigned in_use = 0;
    http_server server;
};

} // namespace

TEST_GROUP(target_gate) {
    event_loop context{1};
    metric_registry registry;
    sidecar_metrics metrics{registry};
    rcu_cell<fleet_view> views;
    rollout_evidence evidence{views, "deposits"};
    connection_pool connections{context};
    counting_target target{context};
    response_link link{context, std::nullopt, metrics};
    std::unique_ptr<target_gate> gate;
    unsigned last_attempt = 0;
    unsigned answered = 0;
    unsigned ended = 0;

    void setup() override {
        this->gate = std::make_unique<target_gate>(this->context, this->connections,
                                                   this->target.address, this->link, this->metrics,
                                                   this->evidence, [](target_record const&) {});
        target_record record;
        record.id = target_id;
        record.slots = slots;
        this->gate->set_target(record);
    }

    void teardown() override {
        this->context.stop();
        this->context.discard_pending_work();
    }

    gate_call make_call() {
        auto const now = boot_clock::now();
        gate_call call;
        call.attempt_id = "attempt-" + std::to_string(++this->last_attempt);
        call.route = "pay";
        call.target_id = target_id;
        call.soft_deadline = call.deadline = call.finish_by = now + seconds(20);
        return call;
    }

    asio::awaitable<void> send() {
        auto call = this->make_call();
        http_request request;
        request.method = "POST";
        request.target = "/pay/1";
        request.headers.set("X-Attempt-Id", call.attempt_id);
        auto const answer = co_await this->gate->run(std::move(call), std::move(request));
        ++this->ended;
        this->answered += std::holds_alternative<gate_ran>(answer) ? 1 : 0;
    }

    void run_until_ended(unsigned count) {
        auto const limit = boot_clock::now() + seconds(30);
        while (this->ended < count && boot_clock::now() < limit) {
            this->context.run_one_for(milliseconds(100));
        }
        LONGS_EQUAL(count, this->ended);
    }
};

// Guards against requests that the target turns away because it is still at work for callers that
// have left, while the gate counts their slots as free.
TEST(target_gate, target_at_work_for_callers_that_left_gets_no_further_requests) {
    // The gate learns a time that is longer than that of the requests below.
    target.work_time = milliseconds(600);
    asio::co_spawn(context, send(), asio::detached);
    run_until_ended(1);
    target.work_time = milliseconds(300);
    std::array<asio::cancellation_signal, slots> leave;
    for (auto& signal : leave) {
        asio::co_spawn(context, send(),
                       asio::bind_cancellation_slot(signal.slot(), asio::detached));
    }
    context.run_for(milliseconds(50));
    for (auto& signal : leave) {
        signal.emit(asio::cancellation_type::terminal);
    }
    run_until_ended(1 + slots);
    // The first further request shows what the target does; none after it is turned away.
    asio::co_spawn(context, send(), asio::detached);
    run_until_ended(1 + slots + 1);
    auto const answered_before = answered;
    for (unsigned count = 0; count < slots; ++count) {
        asio::co_spawn(context, send(), asio::detached);
    }
    run_until_ended(1 + slots + 1 + slots);
    LONGS_EQUAL(answered_before + slots, answered);
    CHECK(target.refused <= 1);
}
