#pragma once

namespace peridot::detail {

/// The version of HTTP/1.1 as Beast numbers it.
inline constexpr unsigned http_version_1_1 = 11;

} // namespace peridot::detail
