#pragma once

namespace CLI {
class App;
}

namespace peridot {

struct command_context;

/// Adds the command "status", which compares the version of each node with the accepted one.
void add_status_command(CLI::App& root, command_context& context);

} // namespace peridot
