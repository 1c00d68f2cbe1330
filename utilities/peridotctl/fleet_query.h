#pragma once

#include "core/result.h"
#include "core/socket_address.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

struct platform_session;

/// Queries a path of the admin interface of every node that has a member row. A node that does not
/// respond is listed with "reachable": false.
result<boost::json::array> query_fleet(platform_session& session,
                                       std::string const& path = "/status");

/// Queries the nodes at the given admin addresses, without contacting the platform.
boost::json::array query_nodes(platform_session& session,
                               std::vector<socket_address> const& addresses,
                               std::string const& path);

/// Returns the greatest version held by a node that responded, or 0 if none did.
std::uint64_t greatest_version(boost::json::array const& fleet);

} // namespace peridot
