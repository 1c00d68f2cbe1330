#pragma once

#include "http/body_outcome.h"
#include "http/body_part.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace peridot {

struct body_source;

/// The part of a response's body that has not been received yet.
///
/// The next part is received only when the reader asks for it, so a body of any size takes the
/// memory of one part, and a slow reader slows the sender down. Destroying the object before the
/// end closes the source.
class body_stream {
public:
    explicit body_stream(body_source source);
    ~body_stream();
    body_stream(body_stream const&) = delete;
    body_stream& operator=(body_stream const&) = delete;
    body_stream(body_stream&&) = delete;
    body_stream& operator=(body_stream&&) = delete;

    /// Receives the next part, which is not empty. After the end or an error there is none.
    boost::asio::awaitable<body_part> next();

    /// Ends a pending call of next().
    void cancel();

    /// Number of bytes that were missing when the stream was created; no value if the length of the
    /// body is not known in advance.
    std::optional<std::uint64_t> length() const;

    /// Adds a function that is called once, when the transfer has ended.
    void add_end_handler(std::function<void(body_outcome)> handler);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
