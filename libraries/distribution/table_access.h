#pragma once

#include "core/result.h"
#include "core/time.h"
#include "platform/table_page.h"
#include "platform/table_row.h"
#include "platform/table_transaction.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace peridot {

class table_client;

/// The operations of the table service as functions; tests put fakes here.
struct table_access {
    std::function<boost::asio::awaitable<result<table_row>>(std::string key, steady_time deadline)>
        read;
    std::function<boost::asio::awaitable<result<std::uint64_t>>(table_transaction transaction,
                                                                steady_time deadline)>
        commit;
    std::function<boost::asio::awaitable<result<table_page>>(
        std::string prefix, std::string after, std::size_t limit, steady_time deadline)>
        list;
};

/// The client must outlive what is returned.
table_access make_table_access(table_client& table);

} // namespace peridot
