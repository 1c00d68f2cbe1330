#pragma once

#include "mesh/member.h"
#include "mesh/rollout.h"

#include <map>
#include <string>
#include <vector>

namespace peridot {

/// Returns the share of a service's requests for each target version. The shares add up to one.
///
/// Without a rollout, all requests go to the version that most targets run: targets of a new
/// version register before or together with the order, and must not get requests without one.
/// During a rollout the new version gets the share in force, and after it all requests or none.
std::map<std::string, double> version_shares(std::vector<member> const& members,
                                             rollout const* current);

/// Returns the versions to try for a request, starting with the one chosen by the shares.
///
/// While the rollout is running, a request that is not accepted by the new version may fall back to
/// the old one, also at full share: the old targets stay until the rollout is complete. The reverse
/// would exceed the share of the new version at the very time when the old one is failing.
std::vector<std::string> versions_to_try(std::string const& chosen,
                                         std::vector<member> const& members,
                                         rollout const* current);

/// Returns the version in force after a completed or rolled back rollout.
std::string const& resulting_version(rollout const& ended);

/// Returns the members of a version whose targets are unreachable.
std::vector<member const*> unreachable_members(std::vector<member> const& members,
                                               std::string const& version);

/// Returns the members of a version that currently get requests.
///
/// While the new version has only a share, the number of its targets that get requests is limited
/// to the same share, so that each one has the load that it would have with all requests. A version
/// that fails only under load is thereby detected at a small share.
std::vector<member const*> active_members(std::vector<member> const& members,
                                          std::string const& version, rollout const* current);

} // namespace peridot
