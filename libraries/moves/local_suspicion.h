#pragma once

#include "core/time.h"
#include "moves/call_result.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// Detects locally that most calls to the new version fail while calls to the old version do not,
/// so that the node can stop sending to the new version before the judges decide. A suspicion lasts
/// for a hold time that doubles each time and then expires: a node whose own network is faulty
/// resumes, and evidence continues to reach the judges.
class local_suspicion {
public:
    /// Number of recent calls to the old version from which the usual failure rate is derived.
    static constexpr std::size_t old_call_window = 50;
    /// Number of consecutive calls without a failure that resets the hold time.
    static constexpr std::size_t calls_to_reset_hold = 50;
    static constexpr seconds initial_hold{5};
    static constexpr seconds maximum_hold{60};

    local_suspicion();
    ~local_suspicion();
    local_suspicion(local_suspicion&&) noexcept;
    local_suspicion& operator=(local_suspicion&&) noexcept;
    local_suspicion(local_suspicion const&) = delete;
    local_suspicion& operator=(local_suspicion const&) = delete;

    /// Records a completed call.
    void record(steady_time now, call_result const& call);

    /// Whether the new version is currently suspected, so that the node sends it no requests.
    bool is_suspected(steady_time now) const;

    /// The end of the last hold time; the steady clock's minimum if there was none.
    steady_time suspected_until() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
