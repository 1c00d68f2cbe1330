#pragma once

#include "http/http_response.h"
#include "sidecar/row_query.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace peridot {

class row_replica;

/// Answers other nodes' questions about rows from this node's copy. Lives on the control thread.
class row_query_handler {
public:
    /// How current the copy is.
    struct copy_state {
        table_revisions covered;
        /// Whether this node follows the store's feed and is served.
        bool is_current = false;
    };
    using state_function = std::function<copy_state()>;

    row_query_handler(boost::asio::io_context& context, row_replica const& replica,
                      state_function state);
    ~row_query_handler();
    row_query_handler(row_query_handler const&) = delete;
    row_query_handler& operator=(row_query_handler const&) = delete;
    row_query_handler(row_query_handler&&) = delete;
    row_query_handler& operator=(row_query_handler&&) = delete;

    /// The rows of the copy have changed.
    void notify();

    /// Keeps the answer back until there is something newer than the asking node holds, as long as
    /// it allows and this node is current. The object must outlive the answer.
    boost::asio::awaitable<http_response> answer(row_query query);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
