#pragma once

#include "http/http_response.h"
#include "http/response_format.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace peridot::detail {

/// Whether the client can tell from the response alone where its body ends. If not, only the end of
/// the connection marks it.
bool is_framed(http_response const& response, unsigned http_version);

/// Writes a response, including the part of the body that is still a stream. Returns whether it was
/// written to its end; if not, the connection must be closed, which shows the client that the
/// response is incomplete.
boost::asio::awaitable<bool> write_response(boost::beast::tcp_stream& stream,
                                            http_response& response, response_format format);

} // namespace peridot::detail
