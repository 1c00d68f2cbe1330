#pragma once

#include <cstdint>

namespace peridot {

/// Whether a call is the first attempt of its request. Retries are not counted as evidence: they
/// follow failures, so counting them would count the same fault more than once.
enum class call_attempt : std::uint8_t { first, retry };

} // namespace peridot
