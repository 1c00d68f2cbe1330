#pragma once

#include "core/result.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "sidecar/row_page.h"
#include "sidecar/row_query.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// Encodes the messages by which nodes exchange rows.
http_request write_row_query(row_query const& query);

/// Returns no value if the request is not a valid row query.
std::optional<row_query> read_row_query(http_request const& request);

http_response write_row_page(row_page const& page);

/// Rejects a page if any part of it is malformed.
result<row_page> read_row_page(http_response const& answer);

/// Adds the store's clock in the given era to a written page.
void add_store_time(http_response& answer, milliseconds store_time, std::uint64_t era);

} // namespace peridot
