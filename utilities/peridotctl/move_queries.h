#pragma once

#include <string>
#include <vector>

namespace peridot {

struct command_context;

/// Prints the moves that are recorded on the platform.
void list_moves(command_context& context);

/// Prints the state of a move on each node. If admin addresses of nodes are given, only these nodes
/// are queried and the platform is not contacted.
void report_move_status(command_context& context, std::string const& id,
                        std::vector<std::string> const& nodes);

/// Prints the decisions about a move; the addresses have the same effect as for the status.
void explain_move(command_context& context, std::string const& id,
                  std::vector<std::string> const& nodes);

} // namespace peridot
