#pragma once

#include "core/random_source.h"
#include "core/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// Identifier of a trace; all zero is invalid.
using trace_id = std::array<std::uint8_t, 16>;

/// Identifier of a span within a trace; all zero is invalid and denotes the absence of a span.
using span_id = std::array<std::uint8_t, 8>;

/// Maximum length of a `traceparent` header; longer ones are malformed.
inline constexpr std::size_t max_traceparent_bytes = 128;

/// The trace information propagated with a request (W3C Trace Context).
struct trace_context {
    trace_id trace{};
    span_id span{};
    /// Whether the spans of the trace are recorded. Decided once, at the root of the trace.
    bool sampled = false;

    bool operator==(trace_context const&) const = default;
};

/// Parses a `traceparent` header. Fails with request_malformed if it is invalid.
result<trace_context> parse_traceparent(std::string_view header);

/// Formats a context as a `traceparent` header.
std::string format_traceparent(trace_context const& context);

/// Creates the context of a new trace, sampled with the given probability (0 to 1).
trace_context start_trace(random_source& random, double sampling_probability);

/// Creates the context of a new span in the trace of the parent.
trace_context child_of(trace_context const& parent, random_source& random);

/// Returns the context in a request's header, or starts a new trace if the header is absent or
/// malformed.
trace_context continue_or_start_trace(std::string_view header, random_source& random,
                                      double sampling_probability);

} // namespace peridot
