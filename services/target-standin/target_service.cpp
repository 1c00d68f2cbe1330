#include "target_service.h"

#include "core/log.h"
#include "core/random_source.h"
#include "target_behaviour.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <map>
#include <stdexcept>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

http_response answer(unsigned status, json::object const& body) {
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

void read(json::object const& fields, std::string_view key, double& setting) {
    if (auto const* field = fields.if_contains(key)) {
        setting = field->to_number<double>();
    }
}

void read(json::object const& fields, std::string_view key, std::uint32_t& setting) {
    if (auto const* field = fields.if_contains(key)) {
        setting = field->to_number<std::uint32_t>();
    }
}

void read(json::object const& fields, std::string_view key, bool& setting) {
    if (auto const* field = fields.if_contains(key)) {
        setting = field->as_bool();
    }
}

void read(json::object const& fields, std::string_view key, milliseconds& setting) {
    if (auto const* field = fields.if_contains(key)) {
        setting = milliseconds(field->to_number<std::int64_t>());
    }
}

} // namespace

class target_service::implementation {
public:
    implementation(asio::io_context& io, target_settings const& given)
        : context(io), settings(given), started(std::chrono::steady_clock::now()) {
        this->behaviour.service_time = given.service_time;
    }

    asio::awaitable<http_response> respond(http_request request) {
        if (request.target.starts_with("/admin/")) {
            co_return this->respond_to_admin(request);
        }
        if (request.target == "/load") {
            co_return answer(200, {{"load", this->behaviour.reported_load >= 0
                                                ? this->behaviour.reported_load
                                                : static_cast<std::int32_t>(this->in_flight)}});
        }
        if (this->behaviour.is_shedding) {
            auto refused = answer(503, {{"message", "shedding load"}});
            refused.headers.set("Retry-After", "1");
            refused.headers.set("Peridot-Outcome", "not_run");
            co_return refused;
        }
        co_return co_await this->run(std::move(request));
    }

    std::string announced_state() const {
        return this->behaviour.is_draining ? "draining" : "ready";
    }

private:
    class slot {
    public:
        explicit slot(implementation& target) : target(target) { ++this->target.in_flight; }
        ~slot() { --this->target.in_flight; }
        slot(slot const&) = delete;
        slot& operator=(slot const&) = delete;
        slot(slot&&) = delete;
        slot& operator=(slot&&) = delete;

    private:
        implementation& target;
    };

    bool fault_applies(http_request const& request) const {
        auto const age = std::chrono::steady_clock::now() - this->started;
        return this->in_flight >= this->behaviour.only_above &&
               request.target.starts_with(this->behaviour.only_route) &&
               age >= this->behaviour.only_after;
    }

    // Counts the request as executed before running it, so that it counts even if its response is
    // lost.
    asio::awaitable<http_response> run(http_request request) {
        slot const held(*this);
        auto const id = std::string(request.headers.value("Peridot-Request-Id"));
        auto const tag = std::string(request.headers.value("X-Test-Id"));
        ++this->executed[tag.empty() ? id : tag];
        ++this->total;
        // Also logged, because the counters are lost if the process is killed.
        log::write(log::level::debug, "request_runs", {{"id", tag}, {"request", id}});
        bool const is_faulty = this->fault_applies(request);
        double scale = is_faulty ? this->behaviour.slowdown : 1;
        bool const is_cold =
            std::chrono::steady_clock::now() - this->started < this->settings.cold_start;
        scale *= is_cold ? 3 : 1;
        // Above the number of slots, requests compete for the target and the service time increases
        // proportionally.
        if (this->in_flight > this->settings.slots) {
            scale *= static_cast<double>(this->in_flight) / this->settings.slots;
        }
        asio::steady_timer timer(this->context);
        timer.expires_after(
            std::chrono::duration_cast<milliseconds>(this->behaviour.service_time * scale));
        co_await timer.async_wait(asio::use_awaitable);
        if (this->behaviour.lost_answers > 0) {
            --this->behaviour.lost_answers;
            throw std::runtime_error("response dropped by the lose_answers fault");
        }
        bool const fails = is_faulty && std::uniform_real_distribution<double>(0, 1)(this->random) <
                                            this->behaviour.failure_ratio;
        auto reply = answer(fails ? 500 : 200, {{"service", this->settings.service},
                                                {"target_version", this->settings.target_version},
                                                {"path", request.target},
                                                {"id", tag},
                                                {"body_bytes", request.body.size()}});
        reply.headers.set("Peridot-Request-Id", id);
        co_return reply;
    }

    http_response respond_to_admin(http_request const& request) {
        if (request.target == "/admin/executed") {
            json::object counts;
            for (auto const& [id, count] : this->executed) {
                counts[id] = count;
            }
            return answer(200, {{"total", this->total}, {"executions", std::move(counts)}});
        }
        if (request.target == "/admin/behaviour" && request.method == "PUT") {
            return this->set_behaviour(request.body);
        }
        return answer(404, {});
    }

    // Settings whose keys are absent remain unchanged.
    http_response set_behaviour(std::string const& body) {
        try {
            auto const parsed = json::parse(body);
            auto const& fields = parsed.as_object();
            read(fields, "service_time_ms", this->behaviour.service_time);
            read(fields, "failure_ratio", this->behaviour.failure_ratio);
            read(fields, "slowdown", this->behaviour.slowdown);
            read(fields, "only_above", this->behaviour.only_above);
            read(fields, "only_after_ms", this->behaviour.only_after);
            read(fields, "lose_answers", this->behaviour.lost_answers);
            read(fields, "shedding", this->behaviour.is_shedding);
            read(fields, "draining", this->behaviour.is_draining);
            if (auto const* route = fields.if_contains("only_route")) {
                this->behaviour.only_route = route->as_string();
            }
            if (auto const* load = fields.if_contains("reported_load")) {
                this->behaviour.reported_load = load->to_number<std::int32_t>();
            }
        } catch (std::exception const& malformed) {
            return answer(400, {{"message", malformed.what()}});
        }
        return answer(200, {});
    }

    asio::io_context& context;
    target_settings settings;
    target_behaviour behaviour;
    steady_time started;
    random_source random = make_random_source();
    std::map<std::string, std::uint32_t> executed;
    std::uint64_t total = 0;
    std::uint32_t in_flight = 0;
};

target_service::target_service(asio::io_context& context, target_settings const& settings)
    : self(std::make_unique<implementation>(context, settings)) {}

target_service::~target_service() = default;

asio::awaitable<http_response> target_service::respond(http_request request) {
    return this->self->respond(std::move(request));
}

std::string target_service::announced_state() const {
    return this->self->announced_state();
}

} // namespace peridot
