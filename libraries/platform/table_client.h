#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "platform/table_page.h"
#include "platform/table_row.h"
#include "platform/table_transaction.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace peridot {

class connection_pool;

/// Client of the platform's table service (HTTP, entity tags, conditional transactions).
class table_client {
public:
    /// The pool must outlive the client.
    table_client(connection_pool& connections, socket_address service);

    /// Reads a row; its revision is 0 if it does not exist.
    boost::asio::awaitable<result<table_row>> read(std::string key, steady_time deadline);

    /// Reads a row; returns no value if it still has the cached revision.
    boost::asio::awaitable<result<std::optional<table_row>>>
    read_if_changed(std::string key, std::uint64_t cached_revision, steady_time deadline);

    /// Lists up to `limit` rows whose keys have the prefix and are greater than `after`.
    boost::asio::awaitable<result<table_page>> list(std::string prefix, std::string after,
                                                    std::size_t limit, steady_time deadline);

    /// Commits the transaction and returns the revision of the written rows. After
    /// platform_conflict nothing was written; after platform_answer_lost the transaction may have
    /// been committed.
    boost::asio::awaitable<result<std::uint64_t>> commit(table_transaction transaction,
                                                         steady_time deadline);

private:
    connection_pool* connections;
    socket_address service;
};

} // namespace peridot
