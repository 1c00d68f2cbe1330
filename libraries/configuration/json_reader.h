#pragma once

#include "core/result.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Reads the fields of one JSON object and remembers the first fault with its path. A field that
/// was not asked for is a fault too, so that a misspelt key is not taken for an absent one.
class json_reader {
public:
    json_reader(boost::json::value const& source, std::string path, result_code code);

    /// Each reads a required field, or gives a neutral value after a fault.
    std::string text(std::string_view key);
    double number(std::string_view key, double minimum, double maximum);
    std::uint64_t whole(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    bool boolean(std::string_view key);
    boost::json::array const& list(std::string_view key, std::size_t max_size);
    boost::json::object const& object(std::string_view key);

    bool has(std::string_view key) const;
    std::string const& path() const { return this->location; }

    /// Records a fault of the reader's caller at a field.
    void reject(std::string_view key, std::string_view reason);
    /// Takes over the fault of a reader of a nested object.
    void merge_error(json_reader const& nested);
    /// Success if there was no fault and no unknown field.
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
