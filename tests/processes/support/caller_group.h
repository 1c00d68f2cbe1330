#pragma once

#include "core/socket_address.h"
#include "processes/support/call_record.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace peridot::processes {

/// Concurrent callers on a dedicated thread. Each caller sends requests sequentially. Requests
/// alternate between GET and POST, rotate over the nodes and carry a unique X-Test-Id.
class caller_group {
public:
    /// Every X-Test-Id starts with the prefix. A caller stops when an answer carries the stop code;
    /// an empty code disables this.
    caller_group(std::string prefix, std::vector<socket_address> nodes, std::size_t callers,
                 std::string stop_code = {});
    ~caller_group();
    caller_group(caller_group const&) = delete;
    caller_group& operator=(caller_group const&) = delete;
    caller_group(caller_group&&) = delete;
    caller_group& operator=(caller_group&&) = delete;

    /// The number of requests that have ended.
    std::size_t ended() const;
    /// Waits until `count` further requests have ended. Returns false on a timeout.
    bool wait_for_more(std::size_t count) const;
    /// Waits for the requests in flight and returns all records.
    std::vector<call_record> stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
