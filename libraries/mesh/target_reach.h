#pragma once

#include "core/boot_clock.h"

#include <optional>

namespace peridot {

/// Whether connections to a target have failed for so long that it counts as unreachable.
///
/// Answers targets that end without a word: they send no announcement, and each node that sends
/// requests would have to find out by itself. Not thread-safe. The current time is passed as an
/// argument.
class target_reach {
public:
    /// Records a connection that failed before a request was sent.
    void observe_failure(boot_time now);
    /// Records a response of the target.
    void observe_response() { this->failing_since.reset(); }

    /// Whether every connection has failed for longer than the target is silent between two
    /// announcements.
    bool is_lost(boot_time now) const;

private:
    std::optional<boot_time> failing_since;
};

/// Whether a target that announced itself last at the given time is overdue with an announcement.
bool is_announcement_overdue(boot_time last, boot_time now);

} // namespace peridot
