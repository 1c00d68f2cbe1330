#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Faults injected by the stand-in; configured at run time with PUT /admin/faults.
struct fault_settings {
    /// Responds to every request with 503.
    bool is_unavailable = false;
    /// Accepts requests without responding to them.
    bool is_unresponsive = false;
    milliseconds latency{0};
    /// Number of upcoming transactions that take effect but get no response.
    std::uint32_t lost_answers = 0;
    /// Number of upcoming object reads that return truncated bytes.
    std::uint32_t truncated_objects = 0;
    /// Number of upcoming object reads that return corrupted bytes.
    std::uint32_t corrupted_objects = 0;
    /// Restricts the object faults to names with this prefix, such as "chunks/".
    std::string only_objects;
    /// Requests that exceed these rates are rejected with 429.
    std::uint32_t reads_per_second = 2000;
    std::uint32_t writes_per_second = 400;
};

} // namespace peridot
