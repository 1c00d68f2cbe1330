#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Judges of one move.
inline constexpr std::size_t judge_count = 3;

/// The instances that judge a move: the first ones by rendezvous hashing, of different
/// availability zones as far as there are enough, so that one zone's loss leaves judges.
std::vector<std::string> choose_judges(endpoint_directory::member_list const& members,
                                       std::string_view move);

} // namespace peridot
