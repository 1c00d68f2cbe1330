#pragma once

#include "platform/row_condition.h"
#include "platform/row_write.h"

#include <vector>

namespace peridot {

/// Writes that are applied atomically if all conditions hold.
struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

} // namespace peridot
