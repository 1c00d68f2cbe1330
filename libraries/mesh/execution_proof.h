#pragma once

#include <cstdint>

namespace peridot {

/// What a response of the target proves about the execution of the request.
enum class execution_proof : std::uint8_t {
    /// The target executed the request, and the response is complete.
    ran,
    /// The target reports that it did not execute the request.
    not_run,
    /// Nothing: the response lacks the marks that the target adds to its responses to this request.
    none,
};

} // namespace peridot
