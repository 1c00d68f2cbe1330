#pragma once

namespace CLI {
class App;
}

namespace peridot {

struct command_context;

/// Adds the commands "move start|status|list|pause|resume|take-back|explain".
void add_move_commands(CLI::App& root, command_context& context);

} // namespace peridot
