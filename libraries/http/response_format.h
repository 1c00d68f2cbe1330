#pragma once

#include "core/time.h"
#include "http/http_version.h"

namespace peridot::detail {

/// How a response is written, which depends on its request and its connection.
struct response_format {
    unsigned http_version = http_version_1_1;
    bool is_head = false;
    bool keeps_connection = true;
    /// Timeout for writing each part of the response.
    milliseconds part_timeout{60'000};
};

} // namespace peridot::detail
