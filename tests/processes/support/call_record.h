#pragma once

#include <string>

namespace peridot::processes {

/// A request of a caller group and its outcome.
struct call_record {
    std::string id;
    std::string method;
    /// 0 if no complete answer arrived.
    unsigned status = 0;
    /// The outcome that the answer reports. Without an answer: not_run if no byte was sent, unknown
    /// otherwise.
    std::string outcome;
    std::string code;
    /// Whether a 200 answer carries the X-Test-Id of the request; true for any other status.
    bool is_matching = true;
};

} // namespace peridot::processes
