#pragma once

#include "core/time.h"

namespace peridot {

class endpoint_directory;
struct http_request;
struct node_state;
struct routed_call;

/// Sets a call's target version by the service's move, if it has one: by the session's header if
/// the route names it and the request has it, else by the request id.
void choose_target_version(routed_call& call, node_state const& state, http_request const& request,
                           steady_time now);

/// Called before each attempt. A call leaves the new version when it was taken back or is
/// suspected, and a version without endpoints leaves the call to the other one. With a share of
/// zero no call goes to the new version, even if the old one has no endpoints.
void update_target_version(routed_call& call, endpoint_directory const& directory, steady_time now);

} // namespace peridot
