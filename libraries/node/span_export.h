#pragma once

#include "core/socket_address.h"
#include "observability/span_source.h"

#include <boost/asio/awaitable.hpp>

namespace peridot {

class connection_pool;
class span_buffer;

/// Sends finished spans to the collector (OTLP/HTTP JSON) until the process ends. A batch that the
/// collector does not take is dropped, so that its outage costs the node no memory.
boost::asio::awaitable<void> export_spans(span_buffer& spans, connection_pool& connections,
                                          socket_address collector, span_source source);

} // namespace peridot
