#pragma once

#include "core/rcu.h"

#include <atomic>
#include <memory>

namespace peridot {

/// A shared immutable value that readers load without a lock and a single writer replaces. A loaded
/// value stays valid for as long as the reader holds the returned pointer.
template<typename T>
class rcu_cell {
public:
    using pointer = std::shared_ptr<T const>;

    explicit rcu_cell(pointer initial = nullptr) : holder(new pointer(std::move(initial))) {}

    ~rcu_cell() { delete this->holder.load(std::memory_order_acquire); }

    rcu_cell(rcu_cell const&) = delete;
    rcu_cell& operator=(rcu_cell const&) = delete;
    rcu_cell(rcu_cell&&) = delete;
    rcu_cell& operator=(rcu_cell&&) = delete;

    /// Returns the current value. Thread-safe.
    pointer load() const {
        rcu::read_guard const guard;
        return *this->holder.load(std::memory_order_acquire);
    }

    /// Publishes a value and frees the previous holder after a grace period. Blocks until readers
    /// have finished, so it must not be called on the request path. Concurrent calls are not
    /// allowed.
    void replace(pointer next) {
        pointer const* const old =
            this->holder.exchange(new pointer(std::move(next)), std::memory_order_acq_rel);
        rcu::wait_for_readers();
        delete old;
    }

private:
    std::atomic<pointer const*> holder;
};

} // namespace peridot
