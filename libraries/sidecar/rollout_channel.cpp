#include "sidecar/rollout_channel.h"

#include "core/log.h"
#include "http/connection_pool.h"

#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds response_timeout{400};
constexpr milliseconds connect_timeout{200};
// A member that cannot steer or has failed to accept a message is skipped for this long.
constexpr milliseconds skip_period{2000};
constexpr unsigned status_malformed = 400;
constexpr std::string_view condemned_text = "condemned";
constexpr std::string_view evidence_path = "/evidence";
constexpr std::string_view verdict_path = "/verdict";

} // namespace

class rollout_channel::implementation {
public:
    implementation(connection_pool& pool, std::uint16_t control_port)
        : connections(pool), port(control_port) {}

    asio::awaitable<delivery> send(member receiver, message kind, std::string body) {
        http_request request;
        request.method = "POST";
        request.target = kind == message::verdict ? verdict_path : evidence_path;
        request.body = std::move(body);
        exchange_options options;
        options.connect_timeout = connect_timeout;
        socket_address const address{receiver.ip, this->port};
        auto const outcome = co_await this->connections.exchange(
            address, std::move(request), std::chrono::steady_clock::now() + response_timeout,
            options);
        auto const* answer = std::get_if<http_response>(&outcome);
        if (answer == nullptr) {
            co_return delivery::failed;
        }
        co_return answer->body == condemned_text ? delivery::condemned : delivery::accepted;
    }

    connection_pool& connections;
    std::uint16_t port;
    std::map<std::string, steady_time> skipped_until;
};

rollout_channel::rollout_channel(connection_pool& connections, std::uint16_t control_port)
    : self(std::make_unique<implementation>(connections, control_port)) {}

rollout_channel::~rollout_channel() = default;

std::optional<member> rollout_channel::steering_member(std::vector<member> const& members) const {
    auto const now = std::chrono::steady_clock::now();
    for (auto const& candidate : members) {
        auto const excluded = this->self->skipped_until.find(candidate.instance);
        bool const is_excluded =
            excluded != this->self->skipped_until.end() && excluded->second > now;
        if (candidate.target.state != target_state::gone && !is_excluded) {
            return candidate;
        }
    }
    return std::nullopt;
}

rollout_channel::message rollout_channel::message_kind(http_request const& request) {
    return request.target == verdict_path ? message::verdict : message::evidence;
}

http_response rollout_channel::write_response(delivery result) {
    http_response answer;
    if (result == delivery::failed) {
        answer.status = status_malformed;
    } else if (result == delivery::condemned) {
        answer.body = condemned_text;
    }
    return answer;
}

asio::awaitable<rollout_channel::delivery>
rollout_channel::send_to_steering(member steering, message kind, std::string body) {
    auto const result = co_await this->self->send(steering, kind, std::move(body));
    if (result == delivery::failed) {
        this->skip(steering.instance);
        log::write(log::level::info, "rollout_steering_unreachable",
                   {{"instance", steering.instance}});
    }
    co_return result;
}

void rollout_channel::skip(std::string const& instance) {
    this->self->skipped_until[instance] = std::chrono::steady_clock::now() + skip_period;
}

asio::awaitable<void> rollout_channel::announce_verdict(member receiver, std::string id) {
    co_await this->self->send(std::move(receiver), message::verdict, std::move(id));
}

} // namespace peridot
