#include "sidecar/response_link.h"

#include "http/body_stream.h"
#include "mesh/fraction_of.h"
#include "mesh/link_schedule.h"
#include "observability/counter.h"
#include "observability/gauge.h"
#include "sidecar/body_limits.h"
#include "sidecar/sidecar_metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr unsigned first_other_status = 300;
// Weight of the newest time in the moving average of a route.
constexpr double answer_time_weight = 0.1;

// A larger body is passed on in parts and shares the link with other responses, so it does not
// occupy the link alone for the time of its whole size.
std::uint64_t occupying_bytes(http_response const& response) {
    if (!response.rest) {
        return response.body.size();
    }
    std::uint64_t const whole_bytes = max_whole_body_bytes;
    return std::min(response.body.size() + response.rest->length().value_or(whole_bytes),
                    whole_bytes);
}

} // namespace

class response_link::implementation {
public:
    implementation(asio::io_context& io, std::optional<double> megabits_per_second,
                   sidecar_metrics& node_metrics)
        : context(io), schedule(megabits_per_second), metrics(node_metrics) {}

    // Removes a request from the schedule on destruction, including after cancellation.
    class entry_guard {
    public:
        entry_guard(implementation& link, std::uint64_t id) : link(link), id(id) {}
        ~entry_guard() {
            this->link.schedule.finish(this->id);
            if (this->link.timers.erase(this->id) > 0) {
                this->link.wake_next();
            }
        }
        entry_guard(entry_guard const&) = delete;
        entry_guard& operator=(entry_guard const&) = delete;
        entry_guard(entry_guard&&) = delete;
        entry_guard& operator=(entry_guard&&) = delete;

    private:
        implementation& link;
        std::uint64_t id;
    };

    // Small responses need no reservation.
    std::shared_ptr<entry_guard> reserve(std::string const& route, boot_time available) {
        auto const bytes = this->schedule.expected_bytes(route);
        if (!this->schedule.is_large(bytes)) {
            return nullptr;
        }
        auto const id = ++this->last_id;
        this->schedule.start(id, bytes, available);
        return std::make_shared<entry_guard>(*this, id);
    }

    asio::awaitable<void> await_turn(std::string const& route, http_response const& response,
                                     std::shared_ptr<void const> reservation) {
        auto const bytes = occupying_bytes(response);
        // Errors and redirections tell nothing about the size of the route's content.
        if (response.status < first_other_status) {
            this->schedule.record_size(route, bytes);
        }
        reservation.reset();
        auto const id = ++this->last_id;
        entry_guard const entry(*this, id);
        bool is_next = this->schedule.add_response(id, bytes, boot_clock::now());
        this->update_backlog();
        if (is_next) {
            co_return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(this->context);
        this->timers[id] = timer;
        while (!is_next) {
            // Only the next response has a time; the others are woken when they become the next.
            timer->expires_at(this->schedule.next_response() == id
                                  ? to_steady_time(this->schedule.next_write_time())
                                  : steady_time::max());
            co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
            is_next = this->schedule.try_write(id, boot_clock::now());
        }
        this->update_backlog();
    }

    void wake_next() {
        auto const next = this->schedule.next_response();
        if (!next) {
            return;
        }
        auto const found = this->timers.find(*next);
        if (found != this->timers.end()) {
            found->second->cancel();
        }
    }

    void update_backlog() const {
        auto const backlog = this->schedule.backlog(boot_clock::now());
        this->metrics.link_backlog.set(std::chrono::duration_cast<milliseconds>(backlog).count());
    }

    asio::io_context& context;
    link_schedule schedule;
    sidecar_metrics& metrics;
    /// Timers of the responses that wait to be written.
    std::unordered_map<std::uint64_t, std::shared_ptr<asio::steady_timer>> timers;
    std::unordered_map<std::string, nanoseconds> remote_answer_times;
    std::uint64_t last_id = 0;
};

response_link::response_link(asio::io_context& context, std::optional<double> megabits_per_second,
                             sidecar_metrics& metrics)
    : self(std::make_unique<implementation>(context, megabits_per_second, metrics)) {}

response_link::~response_link() = default;

bool response_link::has_large_responses(std::string const& route) const {
    auto const& schedule = this->self->schedule;
    return schedule.is_large(schedule.expected_bytes(route));
}

std::optional<gate_refusal> response_link::find_refusal(link_request const& request) const {
    auto refusal = this->self->schedule.find_refusal(request, boot_clock::now());
    if (refusal) {
        this->self->metrics.link_refusals.add();
    }
    return refusal;
}

std::shared_ptr<void const> response_link::reserve(std::string const& route, boot_time available) {
    return this->self->reserve(route, available);
}

asio::awaitable<void> response_link::await_turn(std::string const& route,
                                                http_response const& response,
                                                std::shared_ptr<void const> reservation) {
    return this->self->await_turn(route, response, std::move(reservation));
}

nanoseconds response_link::remote_answer_time(std::string const& route) const {
    auto const found = this->self->remote_answer_times.find(route);
    return found == this->self->remote_answer_times.end() ? nanoseconds(0) : found->second;
}

void response_link::observe_remote_answer(std::string const& route, nanoseconds elapsed) {
    auto const [entry, is_first] = this->self->remote_answer_times.try_emplace(route, elapsed);
    if (!is_first) {
        entry->second += fraction_of(elapsed - entry->second, answer_time_weight);
    }
}

milliseconds response_link::expected_delay(std::string const& route, boot_time available) const {
    if (!this->has_large_responses(route)) {
        return milliseconds(0);
    }
    auto const& schedule = this->self->schedule;
    auto const now = boot_clock::now();
    auto const wait = schedule.expected_wait(schedule.expected_bytes(route), available, now);
    return std::chrono::duration_cast<milliseconds>(wait - (available - now));
}

} // namespace peridot
