#pragma once

#include "mesh/replica_row.h"
#include "platform/store_row.h"

#include <vector>

namespace peridot {

/// Converts between the store's rows and the rows that the nodes hold and exchange.
std::vector<replica_row> to_replica_rows(std::vector<store_row> rows);
std::vector<store_row> to_store_rows(std::vector<replica_row> rows);

} // namespace peridot
