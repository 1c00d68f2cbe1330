#pragma once

#include <optional>
#include <string>

namespace peridot {

/// Sets a row to a JSON value, or deletes the row if there is no value.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

} // namespace peridot
