#pragma once

#include "core/result.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "sidecar/row_page.h"
#include "sidecar/row_query.h"

#include <optional>

namespace peridot {

/// The messages by which nodes learn rows from each other.
http_request write_row_query(row_query const& query);

/// No value for a request that is no such question.
std::optional<row_query> read_row_query(http_request const& request);

http_response write_row_page(row_page const& page);

/// A page of which any part is malformed is refused as a whole.
result<row_page> read_row_page(http_response const& answer);

} // namespace peridot
