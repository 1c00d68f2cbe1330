#pragma once

#include "moves/no_change.h"
#include "moves/step_raise.h"
#include "moves/take_back.h"

#include <variant>

namespace peridot {

/// What a judge decides.
using verdict = std::variant<no_change, step_raise, take_back>;

} // namespace peridot
