#include "core/boot_clock.h"

#include <ctime>

namespace peridot {

boot_time boot_clock::now() noexcept {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return boot_time(seconds(now.tv_sec) + nanoseconds(now.tv_nsec));
}

steady_time to_steady_time(boot_time time) {
    return std::chrono::steady_clock::now() + (time - boot_clock::now());
}

} // namespace peridot
