#pragma once

#include "soak/soak_record.h"

#include <map>
#include <string>
#include <vector>

namespace peridot::soak {

/// Checks the promises of the pages against what callers and targets saw. The runs tell how often
/// each attempt was run by any target. Gives one line for each promise that was broken.
std::vector<std::string> find_violations(std::vector<soak_record> const& records,
                                         std::map<std::string, std::size_t> const& runs,
                                         std::vector<outage> const& outages);

} // namespace peridot::soak
