#pragma once

#include "core/time.h"
#include "distribution/lease.h"
#include "distribution/table_access.h"
#include "membership/endpoint_directory.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

/// Takes and renews the lease row, and does the lease's work while it holds it. Runs on the control
/// thread.
class lease_keeper {
public:
    using directory_source = std::function<std::shared_ptr<endpoint_directory const>()>;

    lease_keeper(std::string instance, table_access table, directory_source directory);
    ~lease_keeper();
    lease_keeper(lease_keeper const&) = delete;
    lease_keeper& operator=(lease_keeper const&) = delete;
    lease_keeper(lease_keeper&&) = delete;
    lease_keeper& operator=(lease_keeper&&) = delete;

    /// Adds work that is done after each renewal, one after the other.
    void add_work(lease_work work);

    /// Runs until the io_context stops.
    boost::asio::awaitable<void> run();

    /// Looks at the row, or renews the lease and does the work; how long to wait afterwards.
    boost::asio::awaitable<milliseconds> step(wall_time now);

    /// The lease, while this instance holds it.
    std::optional<lease> const& held() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
