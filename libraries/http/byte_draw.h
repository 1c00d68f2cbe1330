#pragma once

#include "core/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace peridot {

class byte_budget;

namespace detail {
class byte_account;
}

/// What one body draws from a byte_budget. Destroying the object gives the bytes back.
class byte_draw {
public:
    /// Called once when the body is evicted for others. Its bytes count as given back then, and it
    /// must be dropped soon. It must not destroy the object.
    using eviction_handler = std::function<void()>;

    /// A draw for a client's address. Without a handler it is never evicted.
    byte_draw(byte_budget const& budget, std::string address, eviction_handler evict = {});
    ~byte_draw();
    byte_draw(byte_draw const&) = delete;
    byte_draw& operator=(byte_draw const&) = delete;
    byte_draw(byte_draw&&) = delete;
    byte_draw& operator=(byte_draw&&) = delete;

    /// Sets the size of the body, which has made progress. Returns whether the budget has room for
    /// it; if not, the size is unchanged.
    bool grow_to(std::size_t size, steady_time now);

    /// From now on the body is not evicted any more.
    void keep();

private:
    friend class detail::byte_account;
    std::shared_ptr<detail::byte_account> account;
    std::string address;
    eviction_handler evict;
    std::size_t size = 0;
    steady_time last_progress;
    bool is_evicted = false;
};

} // namespace peridot
