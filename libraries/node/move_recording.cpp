#include "node/move_recording.h"

#include "core/log.h"
#include "edits/edit_engine.h"
#include "node/move_agent.h"
#include "node/move_decisions.h"
#include "proxy/node_state.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds poll_period{250};
constexpr milliseconds edit_timeout{5000};
constexpr milliseconds first_backoff{1000};
constexpr milliseconds longest_backoff{30'000};
constexpr unsigned most_doublings = 5;
// The first judge's edit and its spread take less than the step between the judges' turns.
constexpr std::array<milliseconds, 3> turns{milliseconds(0), milliseconds(5000),
                                            milliseconds(15'000)};
// A judge's take-back at the end of the watch time reaches the others within this time.
constexpr milliseconds wait_for_latch{2000};

} // namespace

std::optional<milliseconds> recording_delay(running_move const& move, std::string const& instance) {
    auto const own = std::find(move.judges.begin(), move.judges.end(), instance);
    auto const turn = static_cast<std::size_t>(own - move.judges.begin());
    if (own == move.judges.end() || turn >= turns.size()) {
        return std::nullopt;
    }
    return turns[turn] + (move.state.latch ? milliseconds(0) : wait_for_latch);
}

move_finish make_finish(running_move const& move, std::string const& instance) {
    auto const& plan = move.plan();
    auto const& latch = move.state.latch;
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    json::object decision{
        {"outcome", latch ? "taken_back" : "completed"},
        {"reason", latch ? describe(*latch)
                         : "all requests go to the new version and its watch time is over"},
        {"recorded_by", instance},
        {"recorded_ms", std::chrono::duration_cast<milliseconds>(now).count()},
        {"gate", move.state.gate}};
    if (latch) {
        decision["take_back"] = to_json(*latch);
    }
    if (move.judgement) {
        auto const summary = move.judgement->decider.summary();
        decision["evidence"] = figures_of(summary.evidence);
        decision["e_value"] = summary.e_value;
    }
    return {plan.id, plan.service, latch ? plan.from : plan.to, json::serialize(decision)};
}

move_recording::move_recording(node_state const& node, move_agent const& agent, table_client& rows,
                               object_client& store)
    : state(&node), moves(&agent), table(&rows), objects(&store) {}

asio::awaitable<void> move_recording::run() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(poll_period);
        co_await timer.async_wait(asio::use_awaitable);
        std::vector<move_finish> due;
        auto const now = std::chrono::steady_clock::now();
        for (auto const& [id, move] : this->moves->moves()) {
            auto const delay = recording_delay(move, this->state->instance);
            if (move.over_since && delay && now >= *move.over_since + *delay &&
                now >= this->attempts[id].next) {
                due.push_back(make_finish(move, this->state->instance));
            }
        }
        for (auto& finish : due) {
            co_await this->record(std::move(finish));
        }
        std::erase_if(this->attempts, [this](auto const& entry) {
            return !this->moves->moves().contains(entry.first);
        });
    }
}

asio::awaitable<void> move_recording::record(move_finish finish) {
    auto const held = this->state->snapshots.current();
    auto const id = finish.id;
    auto const edit_id =
        "finish-" + id + "-" + this->state->instance + "-" + std::to_string(this->random());
    edit_engine engine(*this->table, *this->objects, this->random);
    edit change = std::move(finish);
    auto const outcome =
        co_await engine.accept(std::move(change), edit_id, held ? held->version() : 0,
                               std::chrono::steady_clock::now() + edit_timeout);
    this->back_off(this->attempts[id]);
    if (is_ok(outcome)) {
        log::write(log::level::info, "move_recorded",
                   {{"move", id}, {"version", static_cast<std::int64_t>(value(outcome).version)}});
    } else {
        log::write(log::level::warning, "move_not_recorded",
                   {{"move", id}, {"reason", describe(failure(outcome))}});
    }
}

// Also after a success: the version without the move needs a moment to arrive here.
void move_recording::back_off(attempt_state& attempt) {
    auto const bound = std::min(longest_backoff,
                                first_backoff * (1U << std::min(attempt.failures, most_doublings)));
    std::uniform_int_distribution<std::int64_t> pause(bound.count() / 2, bound.count());
    attempt.next = std::chrono::steady_clock::now() + milliseconds(pause(this->random));
    ++attempt.failures;
}

} // namespace peridot
