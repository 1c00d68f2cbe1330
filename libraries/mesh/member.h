#pragma once

#include "core/socket_address.h"
#include "mesh/store_revision.h"
#include "mesh/target_record.h"

#include <string>

namespace peridot {

/// Record of a node and its target, as replicated to other nodes. Only the node itself writes it.
struct member {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    target_record target;
    /// Fraction of a processor core that is available to the instance.
    double processor_share = 0;
    /// Revision of the record in the store. A replacement instance has a higher one.
    store_revision revision;

    bool operator==(member const&) const = default;
};

} // namespace peridot
