#pragma once

#include "platform/table_row.h"

#include <vector>

namespace peridot {

/// A page of the rows with a key prefix, ordered by key.
struct table_page {
    std::vector<table_row> rows;
    /// Whether there are further rows after this page.
    bool has_more = false;
};

} // namespace peridot
