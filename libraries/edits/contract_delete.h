#pragma once

#include <string>

namespace peridot {

/// Ends a workspace's contract.
struct contract_delete {
    std::string workspace;
};

} // namespace peridot
