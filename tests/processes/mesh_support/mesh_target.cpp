#include "processes/mesh_support/mesh_target.h"

#include "http/body_source.h"
#include "http/body_stream.h"
#include "http/http_server.h"
#include "processes/support/http_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <climits>
#include <cstdint>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace peridot::processes {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds heartbeat_period{200};
constexpr unsigned slots = 8;
constexpr milliseconds start_time{1'700'000'000'000};
constexpr unsigned no_fixed_status = UINT_MAX;
constexpr std::size_t part_bytes = std::size_t{64} * 1024;
// As large as the largest body that a node passes on by default.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

http_limits server_limits() {
    http_limits limits;
    limits.body_bytes = max_body_bytes;
    return limits;
}

} // namespace

class mesh_target::implementation {
public:
    implementation(socket_address const& address, socket_address const& node, std::string own_id,
                   std::string own_service, std::string own_version, seconds cold)
        : own(address)
        , heartbeats(node)
        , id(std::move(own_id))
        , service(std::move(own_service))
        , version(std::move(own_version))
        , cold_remaining(cold)
        , connections(context)
        , server(
              context, [this](http_request request) { return this->respond(std::move(request)); },
              server_limits()) {
        this->server.listen(address);
        asio::co_spawn(this->context, this->announce(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~implementation() {
        this->context.stop();
        this->thread.join();
    }
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    asio::awaitable<http_response> respond(http_request request) {
        std::string const attempt(request.headers.value("X-Attempt-Id"));
        http_response answer;
        answer.headers.set("X-Attempt-Id", attempt);
        answer.headers.set("X-Server-Load", "0,0,8");
        if (this->rate_limit >= 0) {
            answer.headers.set("Server-Limit", std::to_string(this->rate_limit.load()));
        }
        if (this->is_leaving) {
            answer.headers.set("Server-Leaving", "1");
        }
        if (request.headers.value("X-Expect-Instance") != this->id) {
            answer.status = 421;
            co_return answer;
        }
        {
            std::lock_guard const guard(this->lock);
            ++this->runs[attempt];
            this->arrivals.push_back(std::chrono::steady_clock::now());
            this->last_headers = request.headers;
            this->last_caller = request.headers.value("X-Caller-Service");
        }
        asio::steady_timer work(this->context, this->work_time.load());
        co_await work.async_wait(asio::use_awaitable);
        if (this->lost_answers > 0) {
            --this->lost_answers;
            throw std::runtime_error("the response is dropped");
        }
        answer.headers.set("X-Server-Seal", "seal-of-" + this->id);
        answer.status = this->is_failing ? 500 : 200;
        if (this->fixed_status != no_fixed_status) {
            answer.status = this->fixed_status;
            co_return answer;
        }
        if (this->large_body_parts > 0) {
            answer.rest = this->make_large_body();
        } else {
            answer.body = attempt + " done by " + this->id;
        }
        co_return answer;
    }

    std::shared_ptr<body_stream> make_large_body() {
        body_source source;
        source.remaining = this->large_body_parts * part_bytes;
        source.read = [this, sent = std::make_shared<std::size_t>(0)] {
            return this->next_part((*sent)++);
        };
        return std::make_shared<body_stream>(std::move(source));
    }

    asio::awaitable<body_part> next_part(std::size_t index) {
        if (index >= this->cut_after_parts) {
            co_return error{result_code::request_answer_incomplete, "the body is cut"};
        }
        if (index >= this->large_body_parts) {
            co_return body_end{};
        }
        asio::steady_timer pause(this->context, this->part_pause.load());
        co_await pause.async_wait(asio::use_awaitable);
        co_return std::string(part_bytes, 'x');
    }

    http_request make_heartbeat(std::string const& state, std::uint64_t sequence,
                                milliseconds started) const {
        http_request heartbeat;
        heartbeat.method = "POST";
        heartbeat.target = "/instances/" + this->id + "/heartbeat";
        json::object body;
        body["Address"] = to_string(this->own);
        body["Info"] = {{"Service", this->service},
                        {"Version", this->version},
                        {"Zone", "ariana"},
                        {"Slots", slots}};
        body["Status"] = {{"State", state},
                          {"Seq", sequence},
                          {"ColdRemainingS", this->cold_remaining.load().count()}};
        body["born"] = started.count();
        heartbeat.body = json::serialize(body);
        return heartbeat;
    }

    asio::awaitable<void> announce() {
        asio::steady_timer timer(this->context);
        for (std::uint64_t sequence = 1; !this->has_stopped_heartbeats; ++sequence) {
            auto heartbeat = this->make_heartbeat("ready", sequence, start_time);
            auto const limit = std::chrono::steady_clock::now() + seconds(1);
            co_await this->connections.exchange(this->heartbeats, std::move(heartbeat), limit);
            timer.expires_after(heartbeat_period);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    socket_address own;
    socket_address heartbeats;
    std::string id;
    std::string service;
    std::string version;
    std::atomic<seconds> cold_remaining;
    asio::io_context context{1};
    connection_pool connections;
    http_server server;
    std::thread thread;
    std::atomic<milliseconds> work_time{milliseconds(1)};
    std::atomic<bool> is_failing{false};
    std::atomic<unsigned> fixed_status{no_fixed_status};
    std::atomic<int> lost_answers{0};
    std::atomic<std::size_t> large_body_parts{0};
    std::atomic<std::size_t> cut_after_parts{SIZE_MAX};
    std::atomic<milliseconds> part_pause{milliseconds(0)};
    /// Negative while the target states no limit.
    std::atomic<double> rate_limit{-1};
    std::atomic<bool> is_leaving{false};
    std::atomic<bool> has_stopped_heartbeats{false};
    mutable std::mutex lock;
    std::map<std::string, std::size_t> runs;
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    header_list last_headers;
    std::string last_caller;
};

mesh_target::mesh_target(socket_address const& address, socket_address const& heartbeats,
                         std::string id, std::string service, std::string version, seconds cold)
    : self(std::make_unique<implementation>(address, heartbeats, std::move(id), std::move(service),
                                            std::move(version), cold)) {}

mesh_target::~mesh_target() = default;

std::string const& mesh_target::id() const {
    return this->self->id;
}

void mesh_target::lose_answers(int count) {
    this->self->lost_answers = count;
}

void mesh_target::set_large_bodies(std::size_t parts, milliseconds pause) {
    this->self->large_body_parts = parts;
    this->self->part_pause = pause;
}

void mesh_target::cut_bodies_after(std::size_t parts) {
    this->self->cut_after_parts = parts;
}

void mesh_target::set_work_time(milliseconds time) {
    this->self->work_time = time;
}

void mesh_target::set_failing(bool is_failing) {
    this->self->is_failing = is_failing;
}

void mesh_target::set_status(unsigned status) {
    this->self->fixed_status = status;
}

void mesh_target::set_rate_limit(double requests_per_second) {
    this->self->rate_limit = requests_per_second;
}

void mesh_target::set_leaving(bool is_leaving) {
    this->self->is_leaving = is_leaving;
}

void mesh_target::set_cold(seconds remaining) {
    this->self->cold_remaining = remaining;
}

void mesh_target::stop_heartbeats() {
    this->self->has_stopped_heartbeats = true;
}

bool mesh_target::announce(std::string const& state, std::uint64_t sequence,
                           milliseconds started_later) {
    http_caller caller;
    auto const answer =
        caller.call(this->self->heartbeats,
                    this->self->make_heartbeat(state, sequence, start_time + started_later));
    return answer && answer->status == 200;
}

bool mesh_target::deregister() {
    this->stop_heartbeats();
    http_request call;
    call.method = "POST";
    call.target = "/instances/" + this->self->id + "/deregister";
    http_caller caller;
    auto const answer = caller.call(this->self->heartbeats, call);
    return answer && answer->status == 200;
}

std::size_t mesh_target::run_count(std::string const& attempt) const {
    std::lock_guard const guard(this->self->lock);
    auto const found = this->self->runs.find(attempt);
    return found == this->self->runs.end() ? 0 : found->second;
}

std::size_t mesh_target::run_count() const {
    std::lock_guard const guard(this->self->lock);
    std::size_t sum = 0;
    for (auto const& [attempt, count] : this->self->runs) {
        sum += count;
    }
    return sum;
}

std::map<std::string, std::size_t> mesh_target::run_counts() const {
    std::lock_guard const guard(this->self->lock);
    return this->self->runs;
}

std::vector<std::chrono::steady_clock::time_point> mesh_target::arrivals() const {
    std::lock_guard const guard(this->self->lock);
    return this->self->arrivals;
}

header_list mesh_target::last_headers() const {
    std::lock_guard const guard(this->self->lock);
    return this->self->last_headers;
}

std::string mesh_target::calling_service() const {
    std::lock_guard const guard(this->self->lock);
    return this->self->last_caller;
}

} // namespace peridot::processes
