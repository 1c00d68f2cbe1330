#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace peridot {

class connection_pool;

/// Client of the platform's object store. Objects are immutable, and each key ends with the SHA-256
/// digest of the object.
class object_client {
public:
    /// The pool must outlive the client.
    object_client(connection_pool& connections, socket_address service);

    /// Writes an object. Idempotent: writing an existing object succeeds.
    boost::asio::awaitable<status> put(std::string key, std::string bytes, steady_time deadline);

    /// Reads an object; fails with platform_not_found if it does not exist. The caller must verify
    /// the hash.
    boost::asio::awaitable<result<std::string>> get(std::string key, steady_time deadline);

private:
    connection_pool* connections;
    socket_address service;
};

} // namespace peridot
