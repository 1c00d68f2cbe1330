#pragma once

#include "core/request_class.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// A set of paths and methods of a service that a workspace may call.
struct route {
    std::string path_prefix = "/";
    /// Allowed methods; empty allows every method.
    std::vector<std::string> methods;
    /// If absent, GET, HEAD, OPTIONS, PUT and DELETE are idempotent (RFC 9110) and other methods
    /// are not.
    std::optional<bool> idempotent;
    milliseconds timeout{5000};
    request_class traffic_class = request_class::interactive;
    /// Header whose value pins a session to one target version during a move; empty disables
    /// pinning.
    std::string session_header;
    /// Whether the request's Idempotency-Key is recorded on the platform before the request is
    /// forwarded.
    bool deduplicates = false;

    bool operator==(route const&) const = default;
};

/// Whether requests with this method are idempotent on the route, so that they may be retried.
bool is_idempotent(route const& matched, std::string_view method);

} // namespace peridot
