#pragma once

#include <atomic>
#include <cstdint>

namespace peridot {

/// Counts used slots and waiting requests in one atomic word, so that a single operation checks for
/// waiting requests and acquires a free slot. Internal to admission_controller.
class slot_counter {
public:
    explicit slot_counter(std::uint32_t limit) : slot_limit(limit) {}

    /// Acquires a slot if one is free, no request is waiting and no drain has started.
    bool try_acquire();

    /// Acquires a free slot for a waiting request, also during a drain.
    bool try_acquire_for_waiting();

    /// Releases a slot. Returns whether a request is waiting.
    bool release();

    void add_waiting() { this->packed_state.fetch_add(one_waiting, std::memory_order_acq_rel); }
    void remove_waiting() { this->packed_state.fetch_sub(one_waiting, std::memory_order_acq_rel); }
    void start_drain() { this->packed_state.fetch_or(drain_flag, std::memory_order_acq_rel); }
    void set_limit(std::uint32_t limit) {
        this->slot_limit.store(limit, std::memory_order_release);
    }

    std::uint32_t limit() const { return this->slot_limit.load(std::memory_order_acquire); }
    std::uint32_t in_use() const { return in_use_of(this->load()); }
    std::uint32_t waiting() const { return waiting_of(this->load()); }
    bool is_draining() const { return (this->load() & drain_flag) != 0; }

private:
    static constexpr std::uint64_t one_waiting = std::uint64_t{1} << 32U;
    static constexpr std::uint64_t drain_flag = std::uint64_t{1} << 63U;

    static std::uint32_t in_use_of(std::uint64_t state) {
        return static_cast<std::uint32_t>(state);
    }
    static std::uint32_t waiting_of(std::uint64_t state) {
        return static_cast<std::uint32_t>((state & ~drain_flag) >> 32U);
    }
    std::uint64_t load() const { return this->packed_state.load(std::memory_order_acquire); }

    std::atomic<std::uint64_t> packed_state{0};
    std::atomic<std::uint32_t> slot_limit;
};

} // namespace peridot
