#include "processes/support/fake_target.h"

#include "http/connection_pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace peridot::processes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds announce_period{200};
constexpr seconds announce_timeout{2};

std::string make_answer(std::string const& id, std::string const& request_id) {
    auto const body = json::serialize(json::object{{"service", "deposits"}, {"id", id}});
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    answer += "Peridot-Request-Id: " + request_id + "\r\n";
    return answer + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class fake_target::implementation {
public:
    implementation(std::string const& ip, socket_address const& node_admin)
        : acceptor(context, tcp::endpoint(asio::ip::make_address(ip), 0))
        , address{ip, acceptor.local_endpoint().port()}
        , admin(node_admin) {
        asio::co_spawn(this->context, this->accept(), asio::detached);
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

    std::size_t arrived(std::string const& id) const {
        std::lock_guard const lock(this->guard);
        auto const found = this->counts.find(id);
        return found == this->counts.end() ? 0 : found->second;
    }

    std::atomic<answer_fault> fault{answer_fault::none};
    std::atomic<std::size_t> total{0};
    std::atomic<std::size_t> released{0};
    std::atomic<std::size_t> abandoned{0};
    std::atomic<bool> is_released{false};

private:
    using socket_pointer = std::shared_ptr<tcp::socket>;

    asio::awaitable<void> announce() {
        asio::steady_timer timer(this->context);
        connection_pool connections(this->context);
        json::object const body{{"ip", this->address.ip}, {"port", this->address.port},
                                {"service", "deposits"},  {"target_version", "v1"},
                                {"slots", 100},           {"state", "ready"}};
        for (;;) {
            http_request request{"PUT", "/target", {}, json::serialize(body)};
            auto const deadline = std::chrono::steady_clock::now() + announce_timeout;
            (void)co_await connections.exchange(this->admin, std::move(request), deadline);
            timer.expires_after(announce_period);
            co_await timer.async_wait(to_tuple);
        }
    }

    asio::awaitable<void> accept() {
        for (;;) {
            auto [failed, socket] = co_await this->acceptor.async_accept(to_tuple);
            if (failed) {
                co_return;
            }
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(this->context, this->serve(std::move(shared)), asio::detached);
        }
    }

    asio::awaitable<void> serve(socket_pointer socket) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            auto const [failed, size] =
                co_await http::async_read(*socket, buffer, request, to_tuple);
            if (failed) {
                co_return;
            }
            std::string const id(request["X-Test-Id"]);
            {
                std::lock_guard const lock(this->guard);
                ++this->counts[id];
            }
            ++this->total;
            auto const answer = make_answer(id, std::string(request["Peridot-Request-Id"]));
            if (!co_await this->answer(socket, answer)) {
                co_return;
            }
        }
    }

    // Returns false if the connection must not serve further requests.
    asio::awaitable<bool> answer(socket_pointer socket, std::string text) {
        switch (this->fault.load()) {
        case answer_fault::none:
            co_return co_await send(*socket, text);
        case answer_fault::duplicated:
            co_return co_await send(*socket, text + text);
        case answer_fault::truncated:
            (void)co_await send(*socket, text.substr(0, text.size() - text.size() / 8));
            co_return false;
        case answer_fault::stalled:
            (void)co_await send(*socket, text.substr(0, text.size() - text.size() / 8));
            co_await this->wait_for_close(*socket);
            co_return false;
        case answer_fault::late:
            co_return co_await this->send_late(*socket, text);
        case answer_fault::swapped:
            co_return co_await this->swap_answers(socket, text);
        case answer_fault::silent:
            co_await this->wait_for_close(*socket);
            co_return false;
        case answer_fault::closed:
            break;
        }
        co_return false;
    }

    static asio::awaitable<bool> send(tcp::socket& socket, std::string text) {
        auto const [failed, size] =
            co_await asio::async_write(socket, asio::buffer(text), to_tuple);
        co_return !failed;
    }

    asio::awaitable<void> wait_for_close(tcp::socket& socket) {
        co_await socket.async_wait(tcp::socket::wait_read, to_tuple);
        ++this->abandoned;
    }

    asio::awaitable<bool> send_late(tcp::socket& socket, std::string text) {
        asio::steady_timer timer(this->context);
        while (!this->is_released) {
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(to_tuple);
        }
        bool const is_sent = co_await send(socket, text);
        ++this->released;
        co_return is_sent;
    }

    asio::awaitable<bool> swap_answers(socket_pointer socket, std::string text) {
        if (!this->waiting) {
            this->waiting = socket;
            this->waiting_text = text;
            // The second request sends the answer on this connection, which then serves further
            // requests.
            while (this->waiting == socket) {
                asio::steady_timer timer(this->context, milliseconds(1));
                co_await timer.async_wait(to_tuple);
            }
            co_return true;
        }
        auto const first = std::move(this->waiting);
        auto const first_text = std::move(this->waiting_text);
        (void)co_await send(*first, text);
        this->waiting.reset();
        co_return co_await send(*socket, first_text);
    }

    asio::io_context context{1};
    tcp::acceptor acceptor;
    socket_address address;
    socket_address admin;
    mutable std::mutex guard;
    std::map<std::string, std::size_t> counts;
    socket_pointer waiting;
    std::string waiting_text;
    std::thread thread;
};

fake_target::fake_target(std::string const& ip, socket_address const& node_admin)
    : self(std::make_unique<implementation>(ip, node_admin)) {}

fake_target::~fake_target() = default;

void fake_target::set_fault(answer_fault fault) {
    this->self->is_released = false;
    this->self->fault = fault;
}

void fake_target::release() {
    this->self->is_released = true;
}

std::size_t fake_target::arrived(std::string const& id) const {
    return this->self->arrived(id);
}

std::size_t fake_target::arrived() const {
    return this->self->total;
}

std::size_t fake_target::released() const {
    return this->self->released;
}

std::size_t fake_target::abandoned() const {
    return this->self->abandoned;
}

} // namespace peridot::processes
