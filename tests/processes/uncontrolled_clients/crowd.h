#pragma once

#include "core/socket_address.h"

#include <cstddef>
#include <string>
#include <vector>

namespace peridot::processes {

/// How a client of a crowd sends its body.
struct body_plan {
    std::string path;
    std::size_t bytes = 0;
    bool is_chunked = false;
    /// Size of each write to the socket.
    std::size_t piece_bytes = 0;
    /// Number of bytes that are never sent.
    std::size_t missing_bytes = 0;
};

/// Connections of clients that no one controls. They stay open for the lifetime of the object.
class crowd {
public:
    explicit crowd(socket_address address);
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;

    /// Sends a body on each of several connections at the same time; returns when all have sent
    /// theirs or were stopped by the server.
    void send_bodies(std::size_t clients, body_plan const& plan);

    /// Sends the bytes on each of several connections and reads nothing.
    void send(std::size_t clients, std::string const& bytes);

    /// Opens and closes connections one after another, each after a few bytes.
    void open_and_close(std::size_t clients);

private:
    /// Returns a connected socket, or -1 if the server accepts none.
    int connect() const;

    socket_address address;
    std::vector<int> sockets;
};

} // namespace peridot::processes
