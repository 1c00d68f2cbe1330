#pragma once

#include "core/time.h"
#include "observability/trace_context.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peridot {

/// The role of a span in a call; the values are those of OTLP.
enum class span_kind : std::uint8_t { internal = 1, server = 2, client = 3 };

/// The status of a span's operation; the values are those of OTLP.
enum class span_status : std::uint8_t { unset = 0, ok = 1, error = 2 };

/// The value of a span attribute.
using span_attribute_value = std::variant<std::string, std::int64_t, double, bool>;
using span_attribute = std::pair<std::string, span_attribute_value>;

/// A finished operation within a trace.
struct span {
    trace_context context;
    /// The parent span; all zero for the root span of a trace.
    span_id parent{};
    std::string name;
    span_kind kind = span_kind::internal;
    wall_time start;
    wall_time end;
    span_status status = span_status::unset;
    std::vector<span_attribute> attributes;
};

} // namespace peridot
