#include "node/member_exchange.h"

#include "membership/membership_agent.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds page_timeout{2000};
// A request beyond this is dropped; the next digest finds the difference again.
constexpr std::size_t most_running = 2;
constexpr unsigned most_pages = 64;
constexpr unsigned most_busy_answers = 3;

asio::awaitable<std::string> make_page(membership_agent const& members, bucket_set buckets,
                                       std::string after) {
    co_return members.page(buckets, after);
}

} // namespace

member_exchange::member_exchange(asio::io_context& io, membership_agent& agent,
                                 distribution_sources const& from)
    : context(&io), members(&agent), sources(&from) {
    this->members->set_exchange_handler([this](exchange_request const& request) {
        if (this->running < most_running && request.peer_port != 0) {
            ++this->running;
            asio::co_spawn(*this->context, this->run(request), asio::detached);
        }
    });
}

asio::awaitable<void> member_exchange::run(exchange_request request) {
    socket_address const peer{request.ip, request.peer_port};
    std::string const path = "/-/members/" + to_text(request.buckets) + "/";
    std::string after;
    unsigned busy_answers = 0;
    for (unsigned page = 0; page < most_pages; ++page) {
        auto const deadline = std::chrono::steady_clock::now() + page_timeout;
        auto const answer = co_await this->sources->ask_peer(peer, path + after, deadline);
        if (auto const* busy = std::get_if<peer_busy>(&answer)) {
            if (++busy_answers > most_busy_answers) {
                break;
            }
            std::uniform_int_distribution<std::int64_t> jitter(0, busy->delay.count());
            asio::steady_timer timer(*this->context,
                                     busy->delay + milliseconds(jitter(this->random)));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        auto const* bytes = std::get_if<std::string>(&answer);
        if (bytes == nullptr) {
            break;
        }
        auto const next = this->members->merge_page(*bytes);
        if (!is_ok(next) || value(next).empty()) {
            break;
        }
        after = value(next);
    }
    --this->running;
}

peer_service::page_source make_page_source(asio::io_context& control,
                                           membership_agent const& members) {
    return [&control, &members](bucket_set buckets, std::string after) {
        return asio::co_spawn(control, make_page(members, buckets, std::move(after)),
                              asio::use_awaitable);
    };
}

} // namespace peridot
