#pragma once

#include "mesh/member.h"
#include "mesh/rollout.h"

#include <map>
#include <string>
#include <vector>

namespace peridot {

/// The part of a service's requests that each target version gets; the parts add up to one.
///
/// Without a roll-out all requests go to the version that most targets run: targets of a new version
/// register before or together with the order, and nothing may be sent to them without one. During
/// a roll-out the new version gets the share in force, afterwards all or none.
std::map<std::string, double> version_shares(std::vector<member> const& members,
                                             rollout const* current);

} // namespace peridot
