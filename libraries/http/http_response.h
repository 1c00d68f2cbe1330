#pragma once

#include "http/header_list.h"

#include <memory>
#include <string>

namespace peridot {

class body_stream;

/// An HTTP response, complete but for the part of its body that a stream still provides.
struct http_response {
    unsigned status = 200;
    header_list headers;
    std::string body;
    /// What follows the body; null if the body is complete.
    std::shared_ptr<body_stream> rest;
    /// Whether the server closes the connection after this response.
    bool closes_connection = false;
    /// Released by the server when the response has been written or discarded.
    std::shared_ptr<void const> completion_guard;
    /// Accounts for the memory of the body for as long as the response exists.
    std::shared_ptr<void const> body_draw;
};

} // namespace peridot
