#pragma once

#include "core/socket_address.h"
#include "core/time.h"

#include <string>
#include <thread>

namespace peridot::http_tests {

/// Sends the bytes on a new connection, then closes it without waiting for an answer.
void send_and_close(socket_address const& address, std::string const& bytes);

/// Sends the bytes on a new connection and reads until the server closes it.
std::string send_and_read(socket_address const& address, std::string const& bytes);

/// Opens a connection and waits until the server closes it.
void wait_until_closed(socket_address const& address);

/// Polls until the condition holds; the limit is generous because machines are slow at times.
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
