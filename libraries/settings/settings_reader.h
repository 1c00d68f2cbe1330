#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "settings/checked_document.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Reads typed values from an object that was validated against its schema. Additionally checks
/// that IP addresses are numeric, which a schema cannot express, and records the first problem.
class settings_reader {
public:
    /// The pointer is the JSON pointer of the object within the file. It is the prefix of the
    /// pointers of problems.
    explicit settings_reader(boost::json::object const& source, std::string pointer = {});

    bool has(std::string_view key) const;
    std::string text(std::string_view key) const;
    std::uint32_t number(std::string_view key, std::uint32_t fallback) const;
    double real(std::string_view key, double fallback) const;
    std::uint16_t port(std::string_view key) const;
    milliseconds time(std::string_view key, milliseconds fallback) const;
    log::level log_level() const;
    std::vector<std::string> strings(std::string_view key) const;
    /// Returns the numeric members of the object under the key.
    std::map<std::string, double> numbers(std::string_view key) const;

    /// Reads the numeric IP address under the key.
    std::string ip(std::string_view key);
    /// Reads the address under the key, written as "ip:port".
    socket_address address_text(std::string_view key);
    /// Reads the address from the keys "ip" and "port" of this object.
    socket_address ip_and_port();
    /// Reads the address object under the key.
    socket_address address(std::string_view key);
    std::optional<socket_address> optional_address(std::string_view key);
    std::vector<socket_address> addresses(std::string_view key);

    /// Returns the first problem among the values read so far.
    std::optional<settings_problem> const& problem() const { return this->first_problem; }

private:
    socket_address address_in(boost::json::value const& item, std::string const& pointer);
    void record_problem(std::optional<settings_problem> const& found);

    boost::json::object const& object;
    std::string base;
    std::optional<settings_problem> first_problem;
};

/// Converts a checked document to settings with a function that takes a settings_reader.
template<typename Convert>
auto convert_settings(checked_document const& document, std::string_view name, Convert convert)
    -> result<decltype(convert(std::declval<settings_reader&>()))> {
    if (auto const* problem = std::get_if<settings_problem>(&document)) {
        return to_error(*problem);
    }
    settings_reader reader(std::get_if<boost::json::value>(&document)->get_object());
    auto converted = convert(reader);
    if (auto found = reader.problem()) {
        found->file = name;
        return to_error(*found);
    }
    return converted;
}

} // namespace peridot
