#pragma once

#include <string_view>

/// Header fields of the protocol between nodes, and of the answers to callers. docs/requests.md
/// describes them.
namespace peridot::header_names {

inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view request_id = "Peridot-Request-Id";
inline constexpr std::string_view deadline = "Peridot-Deadline-Ms";
inline constexpr std::string_view workspace = "Peridot-Workspace";
inline constexpr std::string_view service = "Peridot-Service";
inline constexpr std::string_view target_version = "Peridot-Target-Version";
inline constexpr std::string_view attempt = "Peridot-Attempt";
inline constexpr std::string_view request_class = "Peridot-Class";
inline constexpr std::string_view configuration_version = "Peridot-Config-Version";
inline constexpr std::string_view outcome = "Peridot-Outcome";
inline constexpr std::string_view code = "Peridot-Code";
inline constexpr std::string_view pressure = "Peridot-Pressure";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view trace_parent = "traceparent";
inline constexpr std::string_view retry_after = "Retry-After";

} // namespace peridot::header_names
