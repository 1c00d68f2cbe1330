#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "http/connection_pool.h"
#include "platform/object_client.h"
#include "platform/table_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace peridot {

/// The platform clients of one invocation of peridotctl, and the event loop that runs their
/// coroutines to completion.
struct platform_session {
    explicit platform_session(socket_address const& platform)
        : table(connections, platform), objects(connections, platform) {}

    template<typename T>
    T run(boost::asio::awaitable<T> work) {
        auto outcome =
            boost::asio::co_spawn(this->context, std::move(work), boost::asio::use_future);
        this->context.restart();
        this->context.run();
        return outcome.get();
    }

    boost::asio::io_context context;
    connection_pool connections{context};
    table_client table;
    object_client objects;
    random_source random = make_random_source();
    milliseconds timeout{10'000};

    steady_time deadline() const { return std::chrono::steady_clock::now() + this->timeout; }
};

} // namespace peridot
