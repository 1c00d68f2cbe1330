#pragma once

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace peridot {

/// Lets coroutines of one io_context wait for the next change notification, each with its own
/// deadline.
class change_signal {
public:
    explicit change_signal(boost::asio::io_context& context);
    ~change_signal();
    change_signal(change_signal const&) = delete;
    change_signal& operator=(change_signal const&) = delete;
    change_signal(change_signal&&) = delete;
    change_signal& operator=(change_signal&&) = delete;

    /// Wakes all coroutines that are currently waiting.
    void notify();

    /// Completes at the next notification or at the given time, whichever comes first.
    boost::asio::awaitable<void> wait(steady_time until);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
