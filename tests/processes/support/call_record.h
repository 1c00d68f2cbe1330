#pragma once

#include <string>

namespace peridot::processes {

/// One request of a caller group and how it ended.
struct call_record {
    std::string id;
    std::string method;
    /// 0 when no whole answer came.
    unsigned status = 0;
    /// The outcome that the caller was told; not_run when no byte was sent; unknown without an
    /// answer.
    std::string outcome;
    std::string code;
    /// Whether a 200 answer carries the request's own X-Test-Id.
    bool is_matching = true;
};

} // namespace peridot::processes
