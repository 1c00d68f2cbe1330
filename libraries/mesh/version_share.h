#pragma once

#include "mesh/member.h"
#include "mesh/rollout.h"

#include <map>
#include <string>
#include <vector>

namespace peridot {

/// The part of a service's requests that each target version gets; the parts add up to one.
///
/// Without a roll-out all requests go to the version that most targets run: targets of a new
/// version register before or together with the order, and nothing may be sent to them without one.
/// During a roll-out the new version gets the share in force, afterwards all or none.
std::map<std::string, double> version_shares(std::vector<member> const& members,
                                             rollout const* current);

/// The versions that a request is tried at, the one that its share gives first.
///
/// A request that finds no room at the new version may go to the old one. The reverse would give
/// the new version more than its share just when the old one is in trouble.
std::vector<std::string> versions_to_try(std::string const& chosen,
                                         std::map<std::string, double> const& shares,
                                         rollout const* current);

/// The version in force once a roll-out has ended.
std::string const& resulting_version(rollout const& ended);

/// The members of a version that take requests now.
///
/// While a new version has a share only, as many of its targets take requests as it has of the
/// service's requests, so that each is loaded as it would be with all of them. A version that is
/// bad only under load is seen as bad at a small share in this way.
std::vector<member const*> active_members(std::vector<member> const& members,
                                          std::string const& version, rollout const* current);

} // namespace peridot
