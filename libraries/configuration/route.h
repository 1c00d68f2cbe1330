#pragma once

#include "core/request_class.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// A part of a service that a workspace may call.
struct route {
    std::string path_prefix = "/";
    /// Empty for every method.
    std::vector<std::string> methods;
    /// Absent: GET, HEAD, OPTIONS, PUT and DELETE are idempotent (RFC 9110), other methods are not.
    std::optional<bool> idempotent;
    milliseconds timeout{5000};
    request_class urgency = request_class::interactive;
    /// Header whose value keeps a session on one target version during a move; empty for none.
    std::string session_header;
    /// Whether an Idempotency-Key is recorded at the platform before the request is sent on.
    bool deduplicates = false;

    bool operator==(route const&) const = default;
};

/// Whether a request of this method may be sent more than once.
bool is_idempotent(route const& matched, std::string_view method);

} // namespace peridot
