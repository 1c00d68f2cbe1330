#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/gate_load.h"
#include "sidecar/gate_answer.h"
#include "sidecar/gate_call.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// What a member tells with each of its answers to another node.
struct hop_state {
    gate_load load;
    /// Version of the configuration that the member holds; 0 for none.
    std::uint64_t configuration = 0;
};

/// Adds the call to a request for another node.
void write_hop_call(http_request& request, gate_call const& call, boot_time now);

/// Takes the call out of a request of another node; no value if it has none that can be read.
std::optional<gate_call> extract_hop_call(http_request& request, boot_time now);

/// The answer to another node.
http_response write_hop_answer(gate_answer answer, hop_state const& state);

/// An answer of another node, and its state.
struct hop_answer {
    gate_answer answer;
    std::optional<hop_state> state;
};
hop_answer extract_hop_answer(http_response answer);

} // namespace peridot
