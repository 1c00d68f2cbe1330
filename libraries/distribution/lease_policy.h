#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "distribution/lease.h"
#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string_view>

namespace peridot {

/// A lease that is not renewed lapses after this time.
inline constexpr milliseconds lease_duration{15'000};
/// Its holder renews it this often.
inline constexpr milliseconds lease_renewal{5000};

/// The place of an instance in the rendezvous order for the lease; 0 comes first.
std::size_t lease_rank(endpoint_directory::member_list const& members, std::string_view instance);

/// How long a node that does not hold the lease waits before it looks at the row. The wait grows
/// with the rank, so the reads of the whole fleet grow only with log N, and yet any node takes the
/// lease if those before it cannot.
milliseconds lease_check_delay(std::size_t rank, random_source& random);

/// Whether the row may be taken over: it is free or lapsed. Clocks of instances may differ by the
/// margin; a wrong clock costs an early change of the holder, and conditional writes keep that
/// safe.
bool is_lease_free(lease const& current, wall_time now);

/// The lease that an instance writes to take over or to renew.
lease next_lease(lease const& current, std::string_view instance, wall_time now);

} // namespace peridot
