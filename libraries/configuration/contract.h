#pragma once

#include "configuration/service_grant.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// The contract of a workspace: its identity, its credential, the services that it may call, and
/// the limits of its calls.
struct contract {
    std::string workspace;
    /// SHA-256 of the secret part of the workspace's credential, in hexadecimal digits.
    std::string credential_sha256;
    std::vector<service_grant> grants;

    bool operator==(contract const&) const = default;
};

/// Returns the grant for a service, or nullptr if the contract has none.
service_grant const* find_grant(contract const& terms, std::string_view service);

} // namespace peridot
