#pragma once

#include <cstdint>
#include <string>

namespace peridot {

/// A row of the table service. The value is JSON text.
struct table_row {
    std::string key;
    /// Increases with every write to the table; 0 denotes a row that does not exist.
    std::uint64_t revision = 0;
    std::string value;
};

} // namespace peridot
