#pragma once

#include "moves/no_change.h"
#include "moves/step_raise.h"
#include "moves/take_back.h"

#include <variant>

namespace peridot {

/// The decision of a judge.
using verdict = std::variant<no_change, step_raise, take_back>;

} // namespace peridot
