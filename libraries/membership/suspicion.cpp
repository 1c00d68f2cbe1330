#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace peridot {

milliseconds suspicion_timeout(swim_settings const& settings, std::size_t members,
                               std::size_t confirmations) {
    double const scale = std::max(1.0, std::log10(static_cast<double>(members)));
    double const shortest = scale * static_cast<double>(settings.suspicion_base.count());
    // A small fleet has too few other members to provide all required confirmations.
    std::size_t const required =
        std::min(settings.required_confirmations, members > 2 ? members - 2 : 0);
    if (confirmations >= required) {
        return milliseconds(static_cast<std::int64_t>(shortest));
    }
    double const longest = shortest * settings.suspicion_max_multiplier;
    double const progress = std::log(static_cast<double>(confirmations) + 1.0) /
                            std::log(static_cast<double>(required) + 1.0);
    return milliseconds(static_cast<std::int64_t>(longest - progress * (longest - shortest)));
}

unsigned retransmit_limit(swim_settings const& settings, std::size_t members) {
    double const rounds = std::ceil(std::log2(static_cast<double>(members) + 1.0));
    return settings.retransmit_factor * static_cast<unsigned>(rounds);
}

} // namespace peridot
