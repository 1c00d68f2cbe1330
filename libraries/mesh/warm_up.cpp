#include "mesh/warm_up.h"

namespace peridot {

void warm_up::set_cold_rate(std::optional<double> requests_per_second) {
    this->cold_rate = requests_per_second;
}

void warm_up::observe(milliseconds remaining, boot_time now) {
    this->cold_until = now + remaining;
    this->is_presumed_cold = false;
}

void warm_up::presume_cold() {
    this->is_presumed_cold = true;
}

std::optional<double> warm_up::rate_limit(boot_time now) const {
    bool const is_cold = this->is_presumed_cold || now < this->cold_until;
    return is_cold ? this->cold_rate : std::nullopt;
}

} // namespace peridot
