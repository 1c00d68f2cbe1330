#pragma once

#include "mesh/replica_row.h"

#include <boost/json/fwd.hpp>

#include <vector>

namespace peridot {

/// Encodes rows for messages between nodes.
boost::json::array to_json(std::vector<replica_row> const& rows);

/// Throws unless the value is a list of complete rows.
std::vector<replica_row> read_replica_rows(boost::json::value const& list);

} // namespace peridot
