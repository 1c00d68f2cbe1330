#pragma once

#include "membership/endpoint_directory.h"

#include <map>
#include <string>
#include <utility>

namespace peridot {

/// The endpoints that this entry node keeps connections to, by service and target version.
/// Immutable.
struct subset_table {
    std::map<std::pair<std::string, std::string>, endpoint_directory::member_list> subsets;
};

} // namespace peridot
