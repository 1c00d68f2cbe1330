#pragma once

#include <boost/json/array.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace peridot {

/// Prints objects as a table with one column per key. A column is as wide as its widest value.
void print_table(std::ostream& stream, std::vector<std::string> const& keys,
                 boost::json::array const& rows);

} // namespace peridot
