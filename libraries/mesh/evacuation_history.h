#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace peridot {

/// Availability zones that the operators have evacuated, across eras of the store.
///
/// A store that comes back from a copy may have lost an evacuation that was acknowledged. Until the
/// copy has held the zone's row again, its absence does not end the evacuation.
class evacuation_history {
public:
    /// Takes the evacuations that the store's rows contain in the given era, and returns those in
    /// force.
    std::set<std::string, std::less<>> update(std::set<std::string> const& stored,
                                              std::uint64_t era);

private:
    /// Maps each evacuated zone to the latest era in which its row was present.
    std::map<std::string, std::uint64_t> last_seen;
};

} // namespace peridot
