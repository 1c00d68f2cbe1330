#pragma once

#include <cstdint>

namespace peridot {

/// How a transaction reaches the store.
enum class commit_path : std::uint8_t {
    /// By a call of its own, for changes that must not wait for others.
    direct,
    /// Combined with those of other nodes, which takes a little longer and saves calls.
    shared,
};

} // namespace peridot
