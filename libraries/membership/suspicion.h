#pragma once

#include "core/time.h"
#include "membership/swim_settings.h"

#include <cstddef>

namespace peridot {

/// How long a suspicion lasts before the member is declared dead. It grows with the logarithm of
/// the fleet's size and shrinks with each independent confirmation.
milliseconds suspicion_timeout(swim_settings const& settings, std::size_t members,
                               std::size_t confirmations);

/// How often an update is sent before it is dropped from the queue.
unsigned retransmit_limit(swim_settings const& settings, std::size_t members);

} // namespace peridot
