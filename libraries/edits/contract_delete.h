#pragma once

#include <string>

namespace peridot {

/// Deletes the contract of a workspace.
struct contract_delete {
    std::string workspace;
};

} // namespace peridot
