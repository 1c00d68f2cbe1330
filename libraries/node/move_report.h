#pragma once

#include "core/time.h"
#include "node/running_move.h"

#include <boost/json/object.hpp>

namespace peridot {

/// One move as a node sees it, for GET /moves; docs/moves.md describes the fields.
boost::json::object report_move(running_move const& move, steady_time now, wall_time clock);

} // namespace peridot
