#pragma once

#include "core/time.h"
#include "http/byte_budget.h"

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace peridot {

class byte_draw;

namespace detail {

/// The state of a byte_budget, which its draws keep alive.
class byte_account {
public:
    explicit byte_account(std::optional<std::size_t> bound) : bound(bound) {}

    /// Makes room for the draw to grow to the size; returns whether there is room.
    bool make_room(byte_draw const& draw, std::size_t size, steady_time now);
    void change_size(byte_draw& draw, std::size_t size);

    std::optional<std::size_t> bound;
    /// Written by the account's thread only; read by any thread.
    std::atomic<std::size_t> used{0};
    byte_budget::refusal_handler report_refusal;
    /// Draws that can be evicted, and the sizes of all draws by address.
    std::unordered_set<byte_draw*> evictable;
    std::unordered_map<std::string, std::size_t> by_address;

private:
    byte_draw* choose_victim(byte_draw const& draw, std::size_t size, steady_time now) const;
    byte_draw* find_stalled(byte_draw const& draw, steady_time now) const;
    byte_draw* find_largest_of(std::string const& address) const;
    void evict(byte_draw& victim);
};

} // namespace detail
} // namespace peridot
