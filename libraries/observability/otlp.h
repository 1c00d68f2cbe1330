#pragma once

#include "observability/span.h"
#include "observability/span_source.h"

#include <string>
#include <vector>

namespace peridot {

/// Encodes spans as the body of a POST request to `/v1/traces` of a collector (OTLP/HTTP, content
/// type application/json).
std::string encode_batch(std::vector<span> const& spans, span_source const& source);

} // namespace peridot
