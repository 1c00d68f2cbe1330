#pragma once

#include "core/socket_address.h"
#include "settings/target_settings.h"

#include <boost/asio/awaitable.hpp>

namespace peridot {

class connection_pool;
class target_service;

/// Registers the target with its local node periodically until the process ends.
boost::asio::awaitable<void> announce(target_settings settings, socket_address listen_address,
                                      target_service const& service, connection_pool& connections);

} // namespace peridot
