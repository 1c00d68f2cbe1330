#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// SHA-256 digest as 64 lower-case hexadecimal digits; it is the name of content-addressed objects.
std::string sha256_hex(std::string_view bytes);

/// Compares two strings in a time that does not depend on the position of the first difference.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);

/// A fast, non-cryptographic hash with the same value on every node. Not safe for untrusted input.
std::uint64_t fingerprint(std::string_view bytes, std::uint64_t seed = 0);

} // namespace peridot
