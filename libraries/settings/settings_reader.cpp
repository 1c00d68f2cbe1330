#include "settings/settings_reader.h"

#include <boost/json.hpp>

#include <arpa/inet.h>

#include <array>

namespace peridot {

namespace {

namespace json = boost::json;

bool is_numeric_ip(std::string const& text) {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

std::string text_of(json::value const& item) {
    auto const& held = item.get_string();
    return {held.data(), held.size()};
}

/// The schema limits the range of the number, so the conversion does not truncate it.
template<typename Number>
Number number_of(json::value const& item) {
    return static_cast<Number>(item.get_int64());
}

} // namespace

settings_reader::settings_reader(json::object const& source, std::string pointer)
    : object(source), base(std::move(pointer)) {}

bool settings_reader::has(std::string_view key) const {
    return this->object.contains(key);
}

std::string settings_reader::text(std::string_view key) const {
    return text_of(this->object.at(key));
}

std::uint32_t settings_reader::number(std::string_view key, std::uint32_t fallback) const {
    return this->has(key) ? number_of<std::uint32_t>(this->object.at(key)) : fallback;
}

double settings_reader::real(std::string_view key, double fallback) const {
    return this->has(key) ? this->object.at(key).to_number<double>() : fallback;
}

std::uint16_t settings_reader::port(std::string_view key) const {
    return this->has(key) ? number_of<std::uint16_t>(this->object.at(key)) : std::uint16_t{0};
}

milliseconds settings_reader::time(std::string_view key, milliseconds fallback) const {
    return this->has(key) ? milliseconds(this->object.at(key).get_int64()) : fallback;
}

log::level settings_reader::log_level() const {
    std::string const name = this->has("log_level") ? this->text("log_level") : "info";
    if (name == "debug") {
        return log::level::debug;
    }
    if (name == "warning") {
        return log::level::warning;
    }
    return name == "error" ? log::level::error : log::level::info;
}

std::vector<std::string> settings_reader::strings(std::string_view key) const {
    std::vector<std::string> list;
    for (auto const& item : this->object.at(key).get_array()) {
        list.push_back(text_of(item));
    }
    return list;
}

std::map<std::string, double> settings_reader::numbers(std::string_view key) const {
    std::map<std::string, double> read;
    for (auto const& [name, item] : this->object.at(key).get_object()) {
        if (item.is_number()) {
            read[name] = item.to_number<double>();
        }
    }
    return read;
}

std::string settings_reader::ip(std::string_view key) {
    std::string address = this->text(key);
    if (!is_numeric_ip(address)) {
        this->record_problem(settings_problem{result_code::settings_invalid,
                                              {},
                                              this->base + "/" + std::string(key),
                                              "out of range: must be a numeric IP address."});
    }
    return address;
}

socket_address settings_reader::address_text(std::string_view key) {
    auto const parsed = parse_socket_address(this->text(key));
    if (!is_ok(parsed)) {
        this->record_problem(settings_problem{result_code::settings_invalid,
                                              {},
                                              this->base + "/" + std::string(key),
                                              "out of range: must be \"ip:port\"."});
        return {};
    }
    return value(parsed);
}

socket_address settings_reader::ip_and_port() {
    return {this->ip("ip"), this->port("port")};
}

socket_address settings_reader::address(std::string_view key) {
    return this->address_in(this->object.at(key), this->base + "/" + std::string(key));
}

std::optional<socket_address> settings_reader::optional_address(std::string_view key) {
    return this->has(key) ? std::optional(this->address(key)) : std::nullopt;
}

std::vector<socket_address> settings_reader::addresses(std::string_view key) {
    std::vector<socket_address> list;
    if (!this->has(key)) {
        return list;
    }
    for (auto const& item : this->object.at(key).get_array()) {
        std::string const pointer = this->base + "/" + std::string(key);
        list.push_back(this->address_in(item, pointer + "/" + std::to_string(list.size())));
    }
    return list;
}

socket_address settings_reader::address_in(json::value const& item, std::string const& pointer) {
    settings_reader nested(item.get_object(), pointer);
    socket_address address = nested.ip_and_port();
    this->record_problem(nested.problem());
    return address;
}

void settings_reader::record_problem(std::optional<settings_problem> const& found) {
    if (!this->first_problem) {
        this->first_problem = found;
    }
}

} // namespace peridot
