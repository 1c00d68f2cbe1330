#include "core/boot_clock.h"

#include <ctime>

namespace peridot {

boot_time boot_clock::now() noexcept {
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return boot_time(seconds(read.tv_sec) + nanoseconds(read.tv_nsec));
}

steady_time to_steady_time(boot_time at) {
    return std::chrono::steady_clock::now() + (at - boot_clock::now());
}

} // namespace peridot
