#pragma once

#include "core/result.h"
#include "core/time.h"
#include "platform/table_row.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace peridot {

/// The row "lease" as it was last read or written.
struct lease {
    std::string holder;
    /// Grows by one with each new holder.
    std::uint64_t epoch = 0;
    wall_time expires;
    /// Revision of the row; 0 if it does not exist. Each write of lease work is conditional on it,
    /// so that the write of a holder that was paused fails.
    std::uint64_t revision = 0;
};

/// Work that only the holder of the lease does. It makes every write conditional on the lease's
/// revision.
using lease_work = std::function<boost::asio::awaitable<void>(lease const& held)>;

/// platform_answer_malformed if the row is no lease; a lease with revision 0 if there is no row.
result<lease> parse_lease(table_row const& row);

/// The value of the row.
std::string serialize(lease const& held);

} // namespace peridot
