#pragma once

#include "core/time.h"
#include "membership/swim_settings.h"

#include <cstddef>

namespace peridot {

/// Returns the timeout after which a suspect is declared dead. It grows with the logarithm of the
/// fleet size and shrinks with each independent confirmation.
milliseconds suspicion_timeout(swim_settings const& settings, std::size_t members,
                               std::size_t confirmations);

/// Returns how many times an update is sent before it is dropped from the queue.
unsigned retransmit_limit(swim_settings const& settings, std::size_t members);

} // namespace peridot
