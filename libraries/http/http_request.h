#pragma once

#include "http/header_list.h"

#include <string>

namespace peridot {

/// A complete HTTP request.
struct http_request {
    std::string method = "GET";
    /// Request target in origin form: path and query.
    std::string target = "/";
    header_list headers;
    std::string body;
    /// Value of the Host field; if empty, the address that the request is sent to is used.
    std::string host;
};

} // namespace peridot
