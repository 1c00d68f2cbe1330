#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Faults of the stand-in, switched at run time over PUT /admin/faults.
struct fault_settings {
    /// Every request is answered with 503.
    bool is_unavailable = false;
    /// Requests are accepted and never answered.
    bool is_unresponsive = false;
    milliseconds latency{0};
    /// So many of the next transactions take effect without an answer.
    std::uint32_t lost_answers = 0;
    /// So many of the next object reads give truncated bytes.
    std::uint32_t truncated_objects = 0;
    /// So many of the next object reads give changed bytes.
    std::uint32_t corrupted_objects = 0;
    /// The faults of objects apply only to names with this prefix, such as "chunks/".
    std::string only_objects;
    /// Requests beyond these rates are answered with 429.
    std::uint32_t reads_per_second = 2000;
    std::uint32_t writes_per_second = 400;
};

} // namespace peridot
