#pragma once

#include "admission/admission_request.h"
#include "core/result.h"

#include <cstdint>
#include <functional>

namespace peridot {

/// Called exactly once, on the thread that owns the queue, with a slot or the reason for refusal.
using admission_callback = std::function<void(result<admission_permit>)>;

/// A request in the admission queue.
struct waiting_request {
    /// Unique within the queue.
    std::uint64_t id = 0;
    admission_request request;
    admission_callback on_decision;
};

} // namespace peridot
