#pragma once

namespace peridot::rcu {

/// Scope guard for a read-side critical section of read-copy-update. Entering it does not block. It
/// must not span a coroutine suspension point. A thread is registered on its first read section.
class read_guard {
public:
    read_guard();
    ~read_guard();
    read_guard(read_guard const&) = delete;
    read_guard& operator=(read_guard const&) = delete;
    read_guard(read_guard&&) = delete;
    read_guard& operator=(read_guard&&) = delete;
};

/// Blocks for a grace period: until all read sections that were open at the call have ended.
void wait_for_readers();

} // namespace peridot::rcu
