#pragma once

#include "configuration/service_chunk.h"
#include "core/result.h"
#include "moves/move_declaration.h"

#include <boost/json/object.hpp>

#include <string>

namespace peridot {

struct platform_session;

/// Reads the accepted configuration of a service from the platform.
result<service_chunk> read_service(platform_session& session, std::string const& service);

/// Returns the content of the move's row, or move_not_found if there is none.
result<boost::json::object> read_move_row(platform_session& session, std::string const& id);

/// Returns the declaration of a running move, or move_finished if it is no longer running.
result<move_declaration> read_running_move(platform_session& session, std::string const& id);

} // namespace peridot
