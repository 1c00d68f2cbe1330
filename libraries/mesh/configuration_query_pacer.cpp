#include "mesh/configuration_query_pacer.h"

namespace peridot {

namespace {

// Longer than a query and the wait before it take.
constexpr milliseconds retry_period{1200};

} // namespace

bool configuration_query_pacer::try_start(std::uint64_t held_version, std::uint64_t heard_version,
                                          steady_time now) {
    bool const is_missing = heard_version > held_version;
    bool const is_asked =
        heard_version <= this->asked_version && now - this->asked_at < retry_period;
    if (!is_missing || is_asked) {
        return false;
    }
    this->asked_version = heard_version;
    this->asked_at = now;
    return true;
}

} // namespace peridot
