#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Whether the answer belongs to the request that it came for.
enum class response_check : std::uint8_t { matched, mismatched, no_response };

/// One request of a load and how it ended. All times count from the start of the load.
struct load_sample {
    nanoseconds intended_start{0};
    nanoseconds sent{0};
    nanoseconds ended{0};
    /// HTTP status; 0 when no answer came.
    unsigned status = 0;
    /// Value of the header Peridot-Outcome; empty when there was none.
    std::string outcome;
    response_check response = response_check::matched;
};

} // namespace peridot
