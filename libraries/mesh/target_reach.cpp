#include "mesh/target_reach.h"

#include "core/time.h"

namespace peridot {

namespace {

// Targets announce themselves about every 1.5 s.
constexpr milliseconds longest_silence{2000};

} // namespace

void target_reach::observe_failure(boot_time now) {
    if (!this->failing_since) {
        this->failing_since = now;
    }
}

bool target_reach::is_lost(boot_time now) const {
    return this->failing_since && now - *this->failing_since >= longest_silence;
}

bool is_announcement_overdue(boot_time last, boot_time now) {
    return now - last >= longest_silence;
}

} // namespace peridot
