#pragma once

#include "core/result.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Reads the fields of one JSON object and records the first error with its path. A field that the
/// caller has not requested is also an error, so that a misspelt key is not treated as absent.
class json_reader {
public:
    json_reader(boost::json::value const& source, std::string path, result_code code);

    /// Each function reads a required field. If it is missing or invalid, the function records an
    /// error and returns an empty value or the minimum.
    std::string text(std::string_view key);
    double number(std::string_view key, double minimum, double maximum);
    std::uint64_t integer(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    bool boolean(std::string_view key);
    boost::json::array const& list(std::string_view key, std::size_t max_size);
    boost::json::object const& object(std::string_view key);

    bool has(std::string_view key) const;
    std::string const& path() const { return this->location; }

    /// Records an error that the caller found in a field.
    void reject(std::string_view key, std::string_view reason);
    /// Records the error of the reader of a nested object.
    void merge_error(json_reader const& nested);
    /// Returns success if no error was recorded and all fields are known.
    status finish();

private:
    boost::json::value const* find(std::string_view key);

    boost::json::object const* fields = nullptr;
    std::string location;
    result_code code;
    std::vector<std::string> requested_keys;
    error first_error;
};

} // namespace peridot
