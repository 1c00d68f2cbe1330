#pragma once

#include "core/error.h"

#include <string>
#include <variant>

namespace peridot {

/// The body is complete.
struct body_end {};

/// The next bytes of a body, its end, or the reason why the rest of it cannot be received.
using body_part = std::variant<std::string, body_end, error>;

} // namespace peridot
