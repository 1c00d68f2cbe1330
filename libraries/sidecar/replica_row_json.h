#pragma once

#include "mesh/replica_row.h"

#include <boost/json/fwd.hpp>

#include <vector>

namespace peridot {

/// Adds a revision to a message between nodes. The era is left out if the store names none.
void add_revision(boost::json::object& object, store_revision revision);

/// Throws unless the object holds a revision.
store_revision read_revision(boost::json::object const& object);

/// Encodes rows for messages between nodes.
boost::json::array to_json(std::vector<replica_row> const& rows);

/// Throws unless the value is a list of complete rows.
std::vector<replica_row> read_replica_rows(boost::json::value const& list);

} // namespace peridot
