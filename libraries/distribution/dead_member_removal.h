#pragma once

#include "core/time.h"
#include "distribution/lease.h"
#include "distribution/table_access.h"
#include "membership/endpoint_directory.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

/// A member that has been absent for this long is taken for gone, and its row is deleted.
inline constexpr seconds dead_member_time{600};

/// Lease work: deletes the rows of members that are dead for long. Nothing is deleted while more
/// than a third of the rows have no live member, since then this node, not they, is likely cut off.
class dead_member_removal {
public:
    using directory_source = std::function<std::shared_ptr<endpoint_directory const>()>;
    using clock = std::function<steady_time()>;

    dead_member_removal(table_access table, directory_source directory, clock now);

    /// Reads the rows at most once a minute.
    boost::asio::awaitable<void> run(lease held);

private:
    boost::asio::awaitable<result<std::vector<table_row>>> read_rows();
    std::vector<table_row> choose(std::vector<table_row> const& rows, steady_time now);
    boost::asio::awaitable<void> remove(std::vector<table_row> rows, lease held);

    table_access table;
    directory_source directory;
    clock current_time;
    std::uint64_t epoch = 0;
    steady_time next_run;
    /// Since when a row had no live member, with the row's revision.
    std::map<std::string, std::pair<std::uint64_t, steady_time>> absent;
};

} // namespace peridot
