#pragma once

#include <cstdint>

namespace peridot {

/// Progress of an exchange at the time of its failure.
enum class exchange_progress : std::uint8_t {
    /// No byte of the request was written to the connection.
    not_sent,
    /// At least one byte of the request may have reached the server.
    sent,
};

} // namespace peridot
