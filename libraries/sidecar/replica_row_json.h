#pragma once

#include "mesh/replica_row.h"

#include <boost/json/fwd.hpp>

#include <vector>

namespace peridot {

/// Rows as they stand in the messages between nodes.
boost::json::array to_json(std::vector<replica_row> const& rows);

/// Throws for anything that is no list of whole rows.
std::vector<replica_row> read_replica_rows(boost::json::value const& list);

} // namespace peridot
