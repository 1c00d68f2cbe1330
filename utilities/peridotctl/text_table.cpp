#include "text_table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace peridot {

namespace {

std::string cell(boost::json::value const& row, std::string const& key) {
    auto const* found = row.as_object().if_contains(key);
    if (found == nullptr) {
        return "-";
    }
    return found->is_string() ? std::string(found->as_string()) : boost::json::serialize(*found);
}

} // namespace

void print_table(std::ostream& stream, std::vector<std::string> const& keys,
                 boost::json::array const& rows) {
    std::vector<std::size_t> widths;
    for (auto const& key : keys) {
        std::size_t width = key.size();
        for (auto const& row : rows) {
            width = std::max(width, cell(row, key).size());
        }
        widths.push_back(width);
    }
    auto const print = [&](auto const& text_of) {
        for (std::size_t column = 0; column < keys.size(); ++column) {
            stream << std::left << std::setw(static_cast<int>(widths[column]) + 2)
                   << text_of(keys[column]);
        }
        stream << "\n";
    };
    print([](std::string const& key) { return key; });
    for (auto const& row : rows) {
        print([&](std::string const& key) { return cell(row, key); });
    }
}

} // namespace peridot
