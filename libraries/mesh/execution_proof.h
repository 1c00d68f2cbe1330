#pragma once

#include <cstdint>

namespace peridot {

/// What an answer of the target proves.
enum class execution_proof : std::uint8_t {
    /// The target ran the request, and this is its whole answer.
    ran,
    /// The target states that it did not run the request.
    not_run,
    /// Nothing: the answer lacks what the target's answers to this request have.
    none,
};

} // namespace peridot
