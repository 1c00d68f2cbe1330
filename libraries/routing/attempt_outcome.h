#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridot {

/// Whether a target executed one attempt. Sent in the Peridot-Outcome header.
enum class attempt_outcome : std::uint8_t {
    /// No target can have received the request.
    not_run,
    /// The target executed the request and its complete answer was received.
    run,
    /// At least one byte was sent to a target, but no complete answer was received.
    unknown,
};

/// Returns the header value for the outcome.
std::string_view name(attempt_outcome outcome);

/// Parses the header value. Returns no value if the text is not a valid outcome.
std::optional<attempt_outcome> parse_attempt_outcome(std::string_view text);

} // namespace peridot
