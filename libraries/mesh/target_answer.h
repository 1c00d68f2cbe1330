#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/// What an answer of the target proves.
enum class answer_proof : std::uint8_t {
    /// The target ran the request, and this is its whole answer.
    ran,
    /// The target states that it did not run the request.
    not_run,
    /// Nothing: the answer lacks what the target's answers to this request have.
    none,
};

/// The target's own figures on its load.
struct target_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

} // namespace peridot
