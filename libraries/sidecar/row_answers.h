#pragma once

#include "http/http_response.h"
#include "sidecar/row_question.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace peridot {

class row_replica;

/// Answers other nodes' questions about rows from this node's copy. Lives on the control thread.
class row_answers {
public:
    /// How current the copy is.
    struct copy_state {
        table_revisions covered;
        /// Whether this node follows the store's feed and is served.
        bool is_current = false;
    };
    using state_function = std::function<copy_state()>;

    row_answers(boost::asio::io_context& context, row_replica const& replica, state_function state);
    ~row_answers();
    row_answers(row_answers const&) = delete;
    row_answers& operator=(row_answers const&) = delete;
    row_answers(row_answers&&) = delete;
    row_answers& operator=(row_answers&&) = delete;

    /// The rows of the copy have changed.
    void notify();

    /// Keeps the answer back until there is something newer than the asking node holds, as long as
    /// it allows and this node is current. The object must outlive the answer.
    boost::asio::awaitable<http_response> answer(row_question question);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
