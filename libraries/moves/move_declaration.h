#pragma once

#include "core/result.h"
#include "core/time.h"
#include "moves/move_pause.h"
#include "moves/move_plan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// A move as declared in a configuration version: the plan and later operator requests.
struct move_declaration {
    move_plan plan;
    /// The last pause or resume. Its revision is the configuration version that contains it, so
    /// that merging two of them always keeps the one of the later version.
    std::optional<move_pause> pause;
    /// Time at which an operator took the move back. Later versions of the declaration retain it.
    std::optional<milliseconds> taken_back_at;

    bool operator==(move_declaration const&) const = default;
};

/// Encodes the declaration as JSON text: the plan, with "pause" and "taken_back_ms" if set.
std::string encode(move_declaration const& declaration);

/// Parses and validates a declaration of the given configuration version.
result<move_declaration> decode_move_declaration(std::string_view text, std::uint64_t version);

} // namespace peridot
