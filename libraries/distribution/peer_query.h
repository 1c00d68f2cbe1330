#pragma once

#include "configuration/configuration_head.h"
#include "core/random_source.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "distribution/distribution_identity.h"
#include "distribution/distribution_sources.h"
#include "membership/endpoint_directory.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace peridot {

/// Up to two random peers of each availability zone, zone by zone, the own instance left out.
endpoint_directory::member_list choose_by_zone(endpoint_directory::member_list const& members,
                                               distribution_identity const& own,
                                               random_source& random);

/// Where to fetch a version from: those who announced it, then one random peer.
std::vector<socket_address> choose_sources(endpoint_directory::member_list const& members,
                                           distribution_identity const& own,
                                           std::vector<std::string> const& tellers,
                                           random_source& random);

/// Asks a peer for the version it holds; version 0 if it holds none.
boost::asio::awaitable<result<configuration_head>> ask_head(distribution_sources const& sources,
                                                            member_record const& peer);

} // namespace peridot
