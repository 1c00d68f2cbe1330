#pragma once

#include "http/header_list.h"

#include <string>

namespace peridot {

/// A whole HTTP request.
struct http_request {
    std::string method = "GET";
    /// Path and query, as on the request line.
    std::string target = "/";
    header_list headers;
    std::string body;
    /// The Host field; empty stands for the address that the request is sent to.
    std::string host;
};

} // namespace peridot
