#pragma once

#include "core/boot_clock.h"

#include <cstdint>

namespace peridot {

/// Share of failures among the latest answers of a target. What is known counts for half after a
/// few seconds without an answer: a target that is left alone would never be seen to have
/// recovered.
class decaying_failure_rate {
public:
    enum class outcome : std::uint8_t { succeeded, failed };

    void observe(outcome how, boot_time now);
    /// Takes over what another node knows.
    void set(double rate, boot_time now);

    /// From 0 to 1.
    double at(boot_time now) const;

private:
    double rate = 0;
    boot_time updated_at;
};

} // namespace peridot
