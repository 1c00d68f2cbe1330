#pragma once

#include "core/result.h"
#include "moves/route_evidence.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// A node's cumulative evidence for a move, or for some of the move's routes.
struct evidence_report {
    /// Less than the maximum attachment size of a membership datagram, 900 bytes.
    static constexpr std::size_t maximum_datagram_size = 880;

    std::string move;
    std::string node;
    /// The node's incarnation. A replaced node counts from zero with a higher incarnation.
    std::uint64_t incarnation = 0;
    /// Increases with each report of the incarnation.
    std::uint64_t sequence = 0;
    evidence_by_route routes;

    bool operator==(evidence_report const&) const = default;
};

/// Encodes the report as datagrams of bounded size. Each datagram is a complete report of some of
/// the routes, so the loss of one delays only the routes that it contains.
std::vector<std::string> encode(evidence_report const& report);

/// Decodes one datagram. Corrupted bytes and inconsistent counts result in datagram_malformed.
result<evidence_report> decode_evidence_report(std::string_view bytes);

} // namespace peridot
