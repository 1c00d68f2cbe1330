#pragma once

#include "core/time.h"

#include <atomic>

namespace peridot {

/// What changes of a move while it runs. The control thread sets the share, workers the suspicion.
class move_progress {
public:
    /// Share of the requests that go to the new version now; zero closes it to new calls.
    double share() const { return this->present_share.load(std::memory_order_acquire); }
    void set_share(double share) { this->present_share.store(share, std::memory_order_release); }

    /// Whether this node sends nothing to the new version for a while, by its own calls alone.
    bool is_suspected(steady_time now) const {
        return now.time_since_epoch().count() <
               this->suspected_until.load(std::memory_order_relaxed);
    }

    /// Makes a worker's suspicion known to the others. It never ends earlier than one before.
    void suspect_until(steady_time end) {
        auto const wanted = end.time_since_epoch().count();
        auto held = this->suspected_until.load(std::memory_order_relaxed);
        while (held < wanted && !this->suspected_until.compare_exchange_weak(
                                    held, wanted, std::memory_order_relaxed)) {
        }
    }

private:
    std::atomic<double> present_share{0};
    std::atomic<steady_time::rep> suspected_until{steady_time::min().time_since_epoch().count()};
};

} // namespace peridot
