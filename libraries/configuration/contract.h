#pragma once

#include "configuration/service_grant.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Who a workspace is, and what it may call, how much and under what limits.
struct contract {
    std::string workspace;
    /// SHA-256 of the secret part of the workspace's credential, in hexadecimal.
    std::string credential_sha256;
    std::vector<service_grant> grants;

    bool operator==(contract const&) const = default;
};

/// The grant for a service, or nullptr.
service_grant const* find_grant(contract const& terms, std::string_view service);

} // namespace peridot
