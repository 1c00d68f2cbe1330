#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/gate_load.h"
#include "sidecar/gate_answer.h"
#include "sidecar/gate_call.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// State that a member attaches to each of its responses to another node.
struct hop_state {
    gate_load load;
    /// Version of the member's configuration; 0 for none.
    std::uint64_t configuration = 0;
};

/// Adds the call to a request that is sent to another node.
void write_hop_call(http_request& request, gate_call const& call, boot_time now);

/// Removes the call from another node's request; returns no value if it is missing or malformed.
std::optional<gate_call> extract_hop_call(http_request& request, boot_time now);

/// Builds the response to another node.
http_response write_hop_answer(gate_answer answer, hop_state const& state);

/// A response from another node, with the state attached to it. Without a readable state, the
/// outcome of the request still holds.
struct hop_answer {
    gate_answer answer;
    std::optional<hop_state> state;
};
/// Returns an unknown outcome only if the outcome itself is missing or malformed.
hop_answer extract_hop_answer(http_response answer);

} // namespace peridot
