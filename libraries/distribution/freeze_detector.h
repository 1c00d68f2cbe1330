#pragma once

#include "core/time.h"

#include <optional>

namespace peridot {

/// The control thread ticks this often.
inline constexpr milliseconds control_tick{100};
/// A longer gap between two ticks means that the process was stopped and continued.
inline constexpr milliseconds freeze_gap{1000};

/// Notices that the process was stopped: by the gap between two ticks.
class freeze_detector {
public:
    /// Called at each tick, and before input that may have waited is used. Whether the process was
    /// stopped since the last call.
    bool observe(steady_time now) {
        auto const last = this->seen;
        this->seen = now;
        return last && now - *last > freeze_gap;
    }

private:
    std::optional<steady_time> seen;
};

} // namespace peridot
