#pragma once

#include "mesh/replica_row.h"
#include "platform/store_row.h"

#include <vector>

namespace peridot {

/// Rows of the store as the nodes hold them and pass them on, and back.
std::vector<replica_row> to_replica_rows(std::vector<store_row> rows);
std::vector<store_row> to_store_rows(std::vector<replica_row> rows);

} // namespace peridot
