#pragma once

#include "http/header_list.h"

#include <memory>
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
    /// Sent in place of the body if it is set. Copies of the request share it.
    std::shared_ptr<std::string const> shared_body;
};

} // namespace peridot
