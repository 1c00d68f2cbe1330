#pragma once

#include "core/socket_address.h"
#include "soak/soak_record.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace peridot::soak {

/// Concurrent callers for every instance, on a dedicated thread. Each caller sends requests
/// sequentially over persistent connections. There are three kinds: lookups, requests that must run
/// at most once, and lookups on the newest route of the configuration.
class soak_callers {
public:
    soak_callers(std::vector<socket_address> const& nodes, std::uint64_t seed);
    ~soak_callers();
    soak_callers(soak_callers const&) = delete;
    soak_callers& operator=(soak_callers const&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;

    /// Sets the newest configuration version that the operator has written.
    void set_version(std::uint64_t version);
    /// Counts a restart of the instance's node.
    void record_start(std::size_t instance);

    /// Waits for the requests in flight and returns all records in order of completion.
    std::vector<soak_record> stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::soak
