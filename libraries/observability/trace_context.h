#pragma once

#include "core/random_source.h"
#include "core/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// Identifies a trace; all zero is not valid.
using trace_id = std::array<std::uint8_t, 16>;

/// Identifies a span within a trace; all zero is not valid and stands for "none".
using span_id = std::array<std::uint8_t, 8>;

/// A `traceparent` header of more bytes than this is malformed.
inline constexpr std::size_t max_traceparent_bytes = 128;

/// The part of a trace that travels with a request (W3C Trace Context).
struct trace_context {
    trace_id trace{};
    span_id span{};
    /// Whether the spans of the trace are recorded. Decided once, where the trace starts.
    bool sampled = false;

    bool operator==(trace_context const&) const = default;
};

/// Decodes a `traceparent` header; anything malformed gives request_malformed.
result<trace_context> parse_traceparent(std::string_view header);

/// The `traceparent` header for a context.
std::string format_traceparent(trace_context const& context);

/// Starts a trace that is sampled with the given probability (0 to 1).
trace_context start_trace(random_source& random, double sampling_probability);

/// The context of a new span in the same trace.
trace_context child_of(trace_context const& parent, random_source& random);

/// The context that a request came with, or a new trace when the header is absent or malformed.
trace_context continue_or_start_trace(std::string_view header, random_source& random,
                                      double sampling_probability);

} // namespace peridot
