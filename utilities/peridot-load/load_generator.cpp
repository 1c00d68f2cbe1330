#include "load_generator.h"

#include "http/connection_pool.h"
#include "load/load_sample.h"
#include "load/load_schedule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridot {

namespace {

namespace asio = boost::asio;

class generator {
public:
    explicit generator(load_options const& given)
        : options(given), connections(context, http_limits{}, given.connections_per_node) {}

    load_report run() {
        this->started = std::chrono::steady_clock::now();
        asio::co_spawn(this->context, this->send_all(), asio::detached);
        this->context.run();
        return std::move(this->report);
    }

private:
    asio::awaitable<void> send_all() {
        load_schedule schedule(this->options.arrivals, this->options.duration);
        asio::steady_timer timer(this->context);
        std::uint64_t number = 0;
        while (auto const start = schedule.next()) {
            timer.expires_at(this->started + *start);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(this->context, this->send_one(*start, number++), asio::detached);
        }
    }

    asio::awaitable<void> send_one(nanoseconds intended, std::uint64_t number) {
        auto const id = "load-" + std::to_string(number);
        http_request request{this->options.method, this->options.path, {}, this->options.body};
        request.headers.set("X-Test-Id", id);
        if (!this->options.credential.empty()) {
            request.headers.set("Authorization", "Bearer " + this->options.credential);
        }
        auto const& node = this->options.nodes[number % this->options.nodes.size()];
        load_sample sample;
        sample.intended_start = intended;
        sample.sent = this->elapsed();
        auto const deadline = std::chrono::steady_clock::now() + this->options.timeout;
        auto outcome = co_await this->connections.exchange(node, std::move(request), deadline);
        sample.ended = this->elapsed();
        check_answer(outcome, id, sample);
        this->report.record(sample);
    }

    static void check_answer(connection_pool::exchange_result const& outcome, std::string const& id,
                             load_sample& sample) {
        auto const* answer = std::get_if<http_response>(&outcome);
        if (answer == nullptr) {
            sample.response = response_check::no_response;
            return;
        }
        sample.status = answer->status;
        sample.outcome = answer->headers.value("Peridot-Outcome");
        bool const is_matching =
            answer->status != 200 || answer->body.find("\"" + id + "\"") != std::string::npos;
        sample.response = is_matching ? response_check::matched : response_check::mismatched;
    }

    nanoseconds elapsed() const { return std::chrono::steady_clock::now() - this->started; }

    load_options const& options;
    asio::io_context context{1};
    connection_pool connections;
    steady_time started;
    load_report report;
};

} // namespace

load_report run_load(load_options const& options) {
    return generator(options).run();
}

} // namespace peridot
