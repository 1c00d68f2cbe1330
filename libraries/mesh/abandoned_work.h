#pragma once

#include "core/boot_clock.h"

#include <cstddef>
#include <vector>

namespace peridot {

/// Decides how many slots a target uses for requests whose callers have left.
///
/// Answers clients that leave early at targets that go on with the work: the target still counts
/// the slot that the gate has released, and refuses the request that the gate sends instead.
/// Whether a target stops its work with the connection is not announced. Therefore the work is
/// presumed to go on for some time after the target has refused a request while such work may have
/// been running.
///
/// Not thread-safe. The current time is passed as an argument.
class abandoned_work {
public:
    /// Records that the caller of a request has left. The target would end the work at the given
    /// time.
    void add(boot_time expected_end, boot_time now);

    /// The target refused a request that was sent because a slot counted as free.
    void observe_refusal(boot_time now);

    /// Number of slots that are presumed to be in use.
    std::size_t held_slots(boot_time now) const;

    /// The times at which these slots are expected to become free, in ascending order.
    std::vector<boot_time> expected_ends(boot_time now) const;

private:
    /// In ascending order.
    std::vector<boot_time> ends;
    boot_time presumed_until;
};

} // namespace peridot
