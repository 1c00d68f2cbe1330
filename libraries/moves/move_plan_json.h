#pragma once

#include "core/result.h"
#include "moves/move_plan.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace peridot {

/// Converts the plan to a JSON object. Times are milliseconds since 1970-01-01 UTC.
boost::json::object to_json(move_plan const& plan);

/// Parses and validates a plan. Without "ramp", the default ramp is used. Unknown keys are an
/// error.
result<move_plan> move_plan_from_json(boost::json::value const& document);

/// Encodes the plan as JSON text.
std::string encode(move_plan const& plan);

/// Parses and validates a plan from JSON text.
result<move_plan> decode_move_plan(std::string_view text);

} // namespace peridot
