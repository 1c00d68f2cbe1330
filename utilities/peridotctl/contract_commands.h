#pragma once

namespace CLI {
class App;
}

namespace peridot {

struct command_context;

/// Adds the commands "contract apply|get|list|diff|delete|revert" and "validate".
void add_contract_commands(CLI::App& root, command_context& context);

} // namespace peridot
