#pragma once

#include "core/socket_address.h"
#include "soak/soak_record.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace peridot::soak {

/// Callers of all instances on a thread of their own. Each sends one request after the other on
/// connections that it keeps until they end: lookups, requests that may run once at most, and
/// lookups on the newest route of the configuration.
class soak_callers {
public:
    soak_callers(std::vector<socket_address> const& nodes, std::uint64_t seed);
    ~soak_callers();
    soak_callers(soak_callers const&) = delete;
    soak_callers& operator=(soak_callers const&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;

    /// The newest configuration version that the operator has written.
    void set_version(std::uint64_t version);
    /// The node of the instance is started once more.
    void record_start(std::size_t instance);

    /// Lets the requests in flight end and gives all records in the order in which they ended.
    std::vector<soak_record> stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::soak
