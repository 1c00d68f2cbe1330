#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "distribution/peer_answer.h"
#include "platform/table_row.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace peridot {

class connection_pool;
struct distribution_counters;
class object_client;
class table_client;

/// Where distribution reads from; tests put fakes here. No answer has been verified.
struct distribution_sources {
    /// The row "head", or no value if it still has the known revision.
    std::function<boost::asio::awaitable<result<std::optional<table_row>>>(
        std::uint64_t known_revision, steady_time deadline)>
        read_head;
    /// An object by its key.
    std::function<boost::asio::awaitable<result<std::string>>(std::string key,
                                                              steady_time deadline)>
        read_object;
    /// A path of a peer's port for nodes.
    std::function<boost::asio::awaitable<peer_answer>(socket_address peer, std::string path,
                                                      steady_time deadline)>
        ask_peer;
};

/// The sources over HTTP, which count their traffic. What is passed must outlive them.
distribution_sources make_http_sources(connection_pool& connections, table_client& table,
                                       object_client& objects, distribution_counters& counters);

} // namespace peridot
