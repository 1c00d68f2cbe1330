#pragma once

#include "core/socket_address.h"
#include "core/time.h"

#include <memory>
#include <string>
#include <thread>

namespace peridot::http_tests {

/// Sends the bytes on a new connection, shuts down the sending direction, waits for the first bytes
/// of a response or the end of the stream, and closes the connection.
void send_and_close(socket_address const& address, std::string const& bytes);

/// Sends the bytes on a new connection and returns everything received until the server closes it.
std::string send_and_read(socket_address const& address, std::string const& bytes);

/// A connection whose reader decides when it sends and reads.
class raw_connection {
public:
    explicit raw_connection(socket_address const& address);
    ~raw_connection();
    raw_connection(raw_connection const&) = delete;
    raw_connection& operator=(raw_connection const&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    void send(std::string const& bytes);
    /// Reads at least one byte; returns nothing at the end of the stream.
    std::string read_some();
    /// Reads until the server closes the connection.
    std::string read_all();
    /// Closes the connection with a reset, so that the server's writes fail.
    void reset();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Opens a connection and blocks until the server closes it.
void wait_until_closed(socket_address const& address);

/// Polls until the condition holds, for at most 60 s; the limit is generous for loaded machines.
template<typename Condition>
bool wait_for(Condition const& condition) {
    auto const limit = std::chrono::steady_clock::now() + seconds(60);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

} // namespace peridot::http_tests
