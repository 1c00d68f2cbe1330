#pragma once

#include "core/result.h"
#include "platform/table_row.h"

#include <string>
#include <vector>

namespace peridot {

struct platform_session;

/// Returns all rows whose key begins with the prefix, ordered by key. The table is read in pages.
result<std::vector<table_row>> list_rows(platform_session& session, std::string const& prefix);

} // namespace peridot
