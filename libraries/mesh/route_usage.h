#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <functional>
#include <map>
#include <string>

namespace peridot {

/// Slot time that the requests of each route have recently taken at one target.
///
/// Answers overload by a frequent route: requests that are ordered by urgency alone leave nothing
/// to a route with few requests, since there is always a more urgent request of the frequent one. A
/// share of the slot time can therefore be reserved for the routes that use least, which also
/// bounds what they take from the others.
///
/// Old usage is forgotten with a half-life of one second. Not thread-safe. The current time is
/// passed as an argument.
class route_usage {
public:
    /// Adds slot time of a request of the route.
    void add(std::string const& route, nanoseconds slot_time);

    /// Lets the usage decay until the given time, which must not be earlier than in the last call.
    void decay(boot_time now);

    /// Whether the route, together with all routes that use no more than it does, has used no more
    /// than the given share of the total, from 0 to 1.
    bool is_within_share(std::string const& route, double share) const;

private:
    std::map<std::string, nanoseconds, std::less<>> slot_times;
    nanoseconds total{0};
    boot_time decayed_at;
};

} // namespace peridot
