#pragma once

#include "core/socket_address.h"
#include "mesh/target_record.h"

#include <cstdint>
#include <string>

namespace peridot {

/// A node and the target beside it, as other nodes know them. The node is the record's one writer.
struct member {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    target_record target;
    /// Part of a processor core that the instance has.
    double processor_share = 0;
    /// Revision of the record in the store; a replaced instance has a higher one.
    std::uint64_t revision = 0;

    bool operator==(member const&) const = default;
};

} // namespace peridot
