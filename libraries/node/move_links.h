#pragma once

#include "membership/attachment.h"
#include "membership/endpoint_directory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridot {

class membership_agent;

/// How moves reach the other nodes; tests give their own.
struct move_links {
    std::function<std::shared_ptr<endpoint_directory const>()> directory;
    /// Sends to one member.
    std::function<void(std::string const& instance, attachment const& item)> send;
    /// Sends to so many members chosen at random.
    std::function<void(attachment const& item, std::size_t count)> push;
    /// The node's present incarnation.
    std::function<std::uint64_t()> incarnation;
};

/// The links over the membership datagrams.
move_links make_move_links(membership_agent& members);

} // namespace peridot
