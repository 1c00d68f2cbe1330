#include "processes/uncontrolled_clients/crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace peridot::processes {

namespace {

// A server may stop reading without closing the connection; its client gives up after this time.
constexpr timeval send_timeout{2, 0};

bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        auto const sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void send_body(int socket, body_plan const& plan) {
    std::string head = "POST " + plan.path + " HTTP/1.1\r\nHost: mesh.example\r\n" +
                       "X-Attempt-Id: crowd-" + std::to_string(socket) +
                       "\r\nX-Deadline-Ms: 20000\r\n";
    head += plan.is_chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                            : "Content-Length: " + std::to_string(plan.bytes) + "\r\n\r\n";
    if (!send_all(socket, head)) {
        return;
    }
    std::string const piece(plan.piece_bytes, 'x');
    for (std::size_t left = plan.bytes - plan.missing_bytes; left > 0;) {
        auto const size = std::min(left, piece.size());
        std::array<char, 32> line{};
        if (plan.is_chunked) {
            (void)std::snprintf(line.data(), line.size(), "%zx\r\n", size);
        }
        if (!send_all(socket, line.data()) ||
            !send_all(socket, std::string_view(piece).substr(0, size)) ||
            !send_all(socket, plan.is_chunked ? "\r\n" : "")) {
            return;
        }
        left -= size;
    }
    if (plan.is_chunked && plan.missing_bytes == 0) {
        (void)send_all(socket, "0\r\n\r\n");
    }
}

} // namespace

crowd::crowd(socket_address address) : address(std::move(address)) {}

crowd::~crowd() {
    for (int const socket : this->sockets) {
        ::close(socket);
    }
}

void crowd::send_bodies(std::size_t clients, body_plan const& plan) {
    std::vector<std::thread> senders;
    for (std::size_t client = 0; client < clients; ++client) {
        int const socket = this->connect();
        if (socket >= 0) {
            this->sockets.push_back(socket);
            senders.emplace_back([socket, &plan] { send_body(socket, plan); });
        }
    }
    for (auto& sender : senders) {
        sender.join();
    }
}

void crowd::send(std::size_t clients, std::string const& bytes) {
    for (std::size_t client = 0; client < clients; ++client) {
        int const socket = this->connect();
        if (socket >= 0) {
            this->sockets.push_back(socket);
            (void)send_all(socket, bytes);
        }
    }
}

void crowd::open_and_close(std::size_t clients) {
    for (std::size_t client = 0; client < clients; ++client) {
        int const socket = this->connect();
        if (socket >= 0) {
            (void)send_all(socket, "GET /get/");
            ::close(socket);
        }
    }
}

int crowd::connect() const {
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return -1;
    }
    (void)::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof(send_timeout));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(this->address.port);
    (void)::inet_pton(AF_INET, this->address.ip.c_str(), &name.sin_addr);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace peridot::processes
