#pragma once

#include "http/body_part.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace peridot {

/// Where the bytes of a body_stream come from.
struct body_source {
    std::function<boost::asio::awaitable<body_part>()> read;
    /// Ends a pending read, which then returns an error.
    std::function<void()> cancel;
    /// Number of bytes until the end; no value if the end is not known in advance.
    std::optional<std::uint64_t> remaining;
};

} // namespace peridot
