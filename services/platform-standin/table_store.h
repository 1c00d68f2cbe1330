#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// In-memory rows of the table service, with conditional transactions. All rows share one revision
/// counter, which increases with each transaction.
class table_store {
public:
    struct row {
        std::uint64_t revision = 0;
        boost::json::value value;
    };

    row const* find(std::string const& key) const;
    /// Returns a page of rows in the format of the HTTP interface.
    boost::json::object page(std::string_view prefix, std::string const& after,
                             std::size_t limit) const;
    /// Returns the keys whose conditions are not met.
    boost::json::array failed_conditions(boost::json::array const& conditions) const;

    /// Applies all writes under one new revision and returns that revision.
    std::uint64_t apply(boost::json::array const& writes);
    /// Saves a copy of the rows under a name, for a later restore.
    void save(std::string const& name);
    /// Replaces the rows by a saved copy, as a restore from an old backup would. Returns false if
    /// no copy has this name. The revision counter is not restored.
    bool restore(std::string const& name);

private:
    std::map<std::string, row> rows;
    std::map<std::string, std::map<std::string, row>> saved;
    std::uint64_t last_revision = 0;
};

} // namespace peridot
