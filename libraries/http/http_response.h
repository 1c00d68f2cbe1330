#pragma once

#include "http/header_list.h"

#include <memory>
#include <string>

namespace peridot {

/// A complete HTTP response.
struct http_response {
    unsigned status = 200;
    header_list headers;
    std::string body;
    /// Whether the server closes the connection after this response.
    bool closes_connection = false;
    /// Released by the server when the response has been written or discarded.
    std::shared_ptr<void const> completion_guard;
};

} // namespace peridot
