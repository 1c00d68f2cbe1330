#include "node/node_worker.h"

#include "core/rcu_cell.h"
#include "distribution/distribution_agent.h"
#include "distribution/peer_service.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "membership/endpoint_directory.h"
#include "membership/membership_agent.h"
#include "node/node_parts.h"
#include "platform/table_client.h"
#include "proxy/call_proxy.h"
#include "proxy/node_state.h"
#include "proxy/refusal.h"
#include "proxy/target_proxy.h"
#include "proxy/worker_context.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace peridot {

namespace asio = boost::asio;

class node_worker::implementation {
public:
    implementation(node_parts const& parts, std::size_t number)
        : distribution(parts.distribution)
        , peers(parts.peers)
        , work(context.get_executor())
        , connections(context)
        , table(connections, parts.platform)
        , shared{parts.state,   parts.members.directory(),
                 connections,   table,
                 parts.metrics, parts.spans,
                 number}
        , entry(shared)
        , exit(shared)
        , call_server(context,
                      [this](http_request request) { return this->serve_call(std::move(request)); })
        , peer_server(context, [this](http_request request) {
            return this->serve_peer(std::move(request));
        }) {}

    asio::awaitable<http_response> serve_call(http_request request) {
        // A worker may run before the control thread notices that the process was frozen.
        if (this->distribution.is_stalled(std::chrono::steady_clock::now())) {
            error const reason{result_code::request_not_ready, "the node was frozen"};
            co_return make_refusal(reason, "not_run");
        }
        co_return co_await this->entry.respond(std::move(request));
    }

    asio::awaitable<http_response> serve_peer(http_request request) {
        if (peer_service::handles(request.target)) {
            co_return co_await this->peers.respond(std::move(request));
        }
        co_return co_await this->exit.respond(std::move(request));
    }

    distribution_agent const& distribution;
    peer_service const& peers;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    connection_pool connections;
    table_client table;
    worker_context shared;
    call_proxy entry;
    target_proxy exit;
    http_server call_server;
    http_server peer_server;
    std::thread thread;
};

node_worker::node_worker(node_parts const& parts, std::size_t number)
    : self(std::make_unique<implementation>(parts, number)) {}

node_worker::~node_worker() {
    this->stop();
}

result<socket_address> node_worker::listen_for_calls(socket_address const& address) {
    return this->self->call_server.listen(address);
}

result<socket_address> node_worker::listen_for_peers(socket_address const& address) {
    return this->self->peer_server.listen(address);
}

void node_worker::start() {
    this->self->thread = std::thread([this] { this->self->context.run(); });
}

void node_worker::close_after_next_response() {
    asio::post(this->self->context, [worker = this->self.get()] {
        worker->call_server.close_after_next_response();
        worker->peer_server.close_after_next_response();
    });
}

void node_worker::close_connections() {
    asio::post(this->self->context, [worker = this->self.get()] {
        for (auto* server : {&worker->call_server, &worker->peer_server}) {
            server->stop_accepting();
            server->close_idle_connections();
        }
    });
}

void node_worker::stop() {
    this->self->context.stop();
    if (this->self->thread.joinable()) {
        this->self->thread.join();
    }
}

std::size_t node_worker::requests_in_flight() const {
    return this->self->call_server.requests_in_flight() +
           this->self->peer_server.requests_in_flight();
}

} // namespace peridot
