#pragma once

#include <boost/asio/io_context.hpp>

namespace peridot {

/// An event loop whose unfinished work can be dropped while the objects that the work uses still
/// live.
///
/// An io_context destroys suspended coroutines only when it is destroyed itself. As the objects
/// that coroutines refer to need the io_context, they are destroyed before it, and the destructors
/// of the coroutines' variables would use them afterwards.
class event_loop : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;

    /// Destroys the pending work; for the time after run() has returned for the last time.
    void discard_pending_work() { this->shutdown(); }
};

} // namespace peridot
