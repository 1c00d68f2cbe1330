#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Whether the response belongs to the request.
enum class response_check : std::uint8_t { matched, mismatched, no_response };

/// A request of a load run and its outcome. Times are relative to the start of the run.
struct load_sample {
    nanoseconds intended_start{0};
    nanoseconds sent{0};
    nanoseconds ended{0};
    /// HTTP status; 0 if no response was received.
    unsigned status = 0;
    /// Value of the header Peridot-Outcome; empty if it was absent.
    std::string outcome;
    response_check response = response_check::matched;
};

} // namespace peridot
