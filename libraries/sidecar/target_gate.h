#pragma once

#include "core/socket_address.h"
#include "http/http_request.h"
#include "mesh/gate_load.h"
#include "mesh/target_record.h"
#include "sidecar/gate_answer.h"
#include "sidecar/gate_call.h"
#include "sidecar/target_result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

class connection_pool;
struct sidecar_metrics;

/// The only way to the target beside the node, for requests of this and of all other nodes.
///
/// What it decides needs nobody's agreement and holds however stale the other nodes are: a leaving
/// target gets no new request, a request that is meant for another target is refused, a
/// non-idempotent request is passed on once, expired work is dropped, and the target never has more
/// requests than slots. Lives on one io_context and is used from its thread only.
class target_gate {
public:
    /// Called for each request that the target ran or may have run.
    using result_function = std::function<void(target_result const&)>;

    target_gate(boost::asio::io_context& context, connection_pool& connections,
                socket_address target, sidecar_metrics& metrics, result_function report);
    ~target_gate();
    target_gate(target_gate const&) = delete;
    target_gate& operator=(target_gate const&) = delete;
    target_gate(target_gate&&) = delete;
    target_gate& operator=(target_gate&&) = delete;

    /// Passes the request on when it gets a slot, and gives the outcome.
    boost::asio::awaitable<gate_answer> run(gate_call call, http_request request);

    /// The target that is beside the node now. Requests that wait are refused when it leaves.
    void set_target(std::optional<target_record> const& target);

    /// A version that is condemned; its target gets no further requests.
    void block_version(std::string version);

    /// The node stops then; requests that may not have ended by then are refused.
    void set_stop_time(boot_time at);

    gate_load load(std::string const& route) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
