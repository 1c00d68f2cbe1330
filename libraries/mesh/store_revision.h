#pragma once

#include <compare>
#include <cstdint>

namespace peridot {

/// A position in the history of the platform's store.
///
/// The store numbers its transactions, but when it comes back from a copy, the numbers go back and
/// are given out again in a new era. Positions are therefore compared by their era first.
struct store_revision {
    constexpr store_revision() = default;
    /// A position in a store that names no era.
    constexpr store_revision(std::uint64_t number) : number(number) {} // NOLINT(*-explicit-*)
    constexpr store_revision(std::uint64_t era, std::uint64_t number) : era(era), number(number) {}

    // The linter takes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(store_revision const&) const = default;

    /// Number of the copies that the store has come back from; 0 if the store does not name it.
    std::uint64_t era = 0;
    /// Number of the transaction; 0 for a row that does not exist.
    std::uint64_t number = 0;
};

} // namespace peridot
