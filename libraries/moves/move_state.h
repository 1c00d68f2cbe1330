#pragma once

#include "core/result.h"
#include "moves/move_pause.h"
#include "moves/take_back.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// The state of a running move that nodes exchange by gossip. States of the same move form a join
/// semilattice, so duplicated, reordered and delayed copies never revert a raised gate or a
/// take-back.
struct move_state {
    /// Maximum size of an encoded state, so that one membership datagram can carry several.
    static constexpr std::size_t maximum_encoded_size = 128;

    std::string move;
    /// The highest step that the judges allow, as an index into the plan's ramp.
    std::uint32_t gate = 0;
    /// Set when the move is taken back; never cleared.
    std::optional<take_back> latch;
    move_pause pause;

    bool operator==(move_state const&) const = default;
};

/// Merges the other state into the first. The operation is commutative, associative and idempotent:
/// it keeps the higher gate, the earliest latch, and the pause with the highest revision. A state
/// of another move is ignored.
void merge(move_state& into, move_state const& other);

/// Encodes the state compactly with a checksum, as an attachment of a datagram.
std::string encode(move_state const& state);

/// Decodes a state. Bytes that are corrupted or too long and values that are out of range result in
/// datagram_malformed.
result<move_state> decode_move_state(std::string_view bytes);

} // namespace peridot
