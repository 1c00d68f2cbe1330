#include "core/socket_address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace peridot {

namespace {

error malformed_address(std::string_view text) {
    return error{result_code::address_unavailable,
                 "'" + std::string(text) + "' is not a numeric ip:port address"};
}

} // namespace

std::string to_string(socket_address const& address) {
    bool const is_ipv6 = address.ip.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

result<socket_address> parse_socket_address(std::string_view text) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed_address(text);
    }
    auto ip = text.substr(0, colon);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    auto const digits = text.substr(colon + 1);
    socket_address address{std::string(ip), 0};
    auto const [end, parse_error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    boost::system::error_code address_error;
    boost::asio::ip::make_address(address.ip, address_error);
    if (parse_error != std::errc{} || end != digits.data() + digits.size() || address_error) {
        return malformed_address(text);
    }
    return address;
}

} // namespace peridot
