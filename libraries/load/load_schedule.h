#pragma once

#include "core/time.h"
#include "load/arrival_process.h"

#include <memory>
#include <optional>

namespace peridot {

/// The intended start times of an open-loop load run. They are independent of the responses, so a
/// slow system does not reduce the rate of the load that measures it.
class load_schedule {
public:
    /// The schedule is empty if the rate is not positive and finite.
    load_schedule(arrival_process const& process, nanoseconds duration);
    ~load_schedule();
    load_schedule(load_schedule const&) = delete;
    load_schedule& operator=(load_schedule const&) = delete;
    load_schedule(load_schedule&&) noexcept;
    load_schedule& operator=(load_schedule&&) noexcept;

    /// Returns the next start time relative to the start of the run, or no value after the end of
    /// the duration. Start times do not decrease.
    std::optional<nanoseconds> next();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
