#pragma once

#include <boost/asio/io_context.hpp>

namespace peridot {

/// An io_context whose pending work can be destroyed before the objects that the work refers to.
///
/// An io_context destroys suspended coroutines only in its own destructor. The objects that the
/// coroutines refer to depend on the io_context and are therefore destroyed before it, so the
/// destructors of coroutine locals would access destroyed objects.
class event_loop : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;

    /// Destroys the pending work. Call only after the last call of run() has returned.
    void discard_pending_work() { this->shutdown(); }
};

} // namespace peridot
