#pragma once

#include <atomic>
#include <cstdint>

namespace peridot {

/// An integer value that can increase and decrease. Thread-safe and lock-free.
class gauge {
public:
    void set(std::int64_t level) { this->current.store(level, std::memory_order_relaxed); }
    void add(std::int64_t change) { this->current.fetch_add(change, std::memory_order_relaxed); }
    std::int64_t value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> current{0};
};

} // namespace peridot
