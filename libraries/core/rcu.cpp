#include "core/rcu.h"

#include <urcu/urcu-memb.h>

// The packaged liburcu is not instrumented, so ThreadSanitizer does not detect that a grace period
// orders the end of read sections before the return of wait_for_readers(). These annotations
// declare that ordering.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#define PERIDOT_ACQUIRE(address) __tsan_acquire(address)
#define PERIDOT_RELEASE(address) __tsan_release(address)
#else
#define PERIDOT_ACQUIRE(address) (void)(address)
#define PERIDOT_RELEASE(address) (void)(address)
#endif

namespace peridot::rcu {

namespace {

char grace_period_order = 0;

struct thread_registration {
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(thread_registration const&) = delete;
    thread_registration& operator=(thread_registration const&) = delete;
    thread_registration(thread_registration&&) = delete;
    thread_registration& operator=(thread_registration&&) = delete;
};

} // namespace

read_guard::read_guard() {
    static thread_local thread_registration const registration;
    (void)registration;
    urcu_memb_read_lock();
}

read_guard::~read_guard() {
    PERIDOT_RELEASE(&grace_period_order);
    urcu_memb_read_unlock();
}

void wait_for_readers() {
    urcu_memb_synchronize_rcu();
    PERIDOT_ACQUIRE(&grace_period_order);
}

} // namespace peridot::rcu
