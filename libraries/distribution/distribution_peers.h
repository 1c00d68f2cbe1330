#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace peridot {

/// The fleet as distribution sees it; tests put fakes here.
struct distribution_peers {
    std::function<std::shared_ptr<endpoint_directory const>()> directory;
    /// Sends an announcement to up to this many random members.
    std::function<void(std::string const& announcement, std::size_t count)> push;
};

} // namespace peridot
