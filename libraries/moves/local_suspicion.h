#pragma once

#include "core/time.h"
#include "moves/call_result.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// A node's own quick decision to stop sending to the new version when most of its calls there
/// fail while those to the old version do not. It lasts for a hold time that doubles, so that a
/// node whose own network is at fault tries again and the fleet keeps its evidence.
class local_suspicion {
public:
    /// The last calls to the old version that say what failures are usual.
    static constexpr std::size_t old_call_window = 50;
    /// Calls without a failure after which the hold time is short again.
    static constexpr std::size_t calls_to_reset_hold = 50;
    static constexpr seconds initial_hold{5};
    static constexpr seconds maximum_hold{60};

    local_suspicion();
    ~local_suspicion();
    local_suspicion(local_suspicion&&) noexcept;
    local_suspicion& operator=(local_suspicion&&) noexcept;
    local_suspicion(local_suspicion const&) = delete;
    local_suspicion& operator=(local_suspicion const&) = delete;

    /// Takes in a finished call.
    void record(steady_time now, call_result const& call);

    /// Whether the node sends nothing to the new version now.
    bool is_suspected(steady_time now) const;

    /// The end of the last hold time; the steady clock's minimum if there was none.
    steady_time suspected_until() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
