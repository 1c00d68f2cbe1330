#pragma once

#include "core/result.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace peridot {

class table_client;

/// Lets a request with an Idempotency-Key go on once, by a row of the table service that is written
/// before the request is sent on.
class duplicate_guard {
public:
    /// The table must outlive the guard.
    explicit duplicate_guard(table_client& table);

    /// Claims the key for a request. request_duplicate: an earlier request holds it. Any other
    /// error: the platform could not decide, and the request must not be sent on. An answer of the
    /// platform that was lost is settled by reading the row.
    boost::asio::awaitable<status> claim(std::string workspace, std::string service,
                                         std::string key, std::string request_id,
                                         steady_time deadline);

    /// Gives the key back after the request was not run, so that the caller can send it again.
    boost::asio::awaitable<void> release(steady_time deadline);

private:
    boost::asio::awaitable<status> settle(steady_time deadline);

    table_client* table;
    std::string row;
    std::string request_id;
    /// Revision of the claimed row; 0 while the key is not held.
    std::uint64_t revision = 0;
};

} // namespace peridot
