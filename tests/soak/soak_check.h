#pragma once

#include "soak/soak_record.h"

#include <map>
#include <string>
#include <vector>

namespace peridot::soak {

/// Checks the documented guarantees against the records of the callers and the execution counts of
/// the targets. `runs` holds the number of executions of each attempt over all targets. Returns one
/// line per violation.
std::vector<std::string> find_violations(std::vector<soak_record> const& records,
                                         std::map<std::string, std::size_t> const& runs,
                                         std::vector<outage> const& outages);

} // namespace peridot::soak
