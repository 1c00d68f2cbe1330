#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

/// The header fields of a message in order of appearance. Field names are case-insensitive.
class header_list {
public:
    using field = std::pair<std::string, std::string>;

    header_list() = default;
    header_list(std::initializer_list<field> initial) : fields(initial) {}

    /// Returns the value of the first field with the name, or an empty view if there is none.
    std::string_view value(std::string_view name) const;
    bool contains(std::string_view name) const;
    std::vector<field> const& all() const { return this->fields; }

    /// Replaces all fields with the name by a single one.
    void set(std::string_view name, std::string_view value);
    void add(std::string_view name, std::string_view value);
    void remove(std::string_view name);

private:
    std::vector<field> fields;
};

} // namespace peridot
