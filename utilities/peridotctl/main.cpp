#include "command_context.h"
#include "contract_commands.h"
#include "move_commands.h"
#include "status_command.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
    constexpr int exit_usage = 2;
    CLI::App arguments("Operator's command-line tool for peridotford: contracts, moves and the "
                       "state of the fleet.");
    arguments.set_version_flag("--version", PERIDOT_VERSION);
    arguments.require_subcommand(1);
    peridot::command_context context;
    arguments.add_option("--platform", context.platform, "Address of the platform (ip:port)")
        ->envname("PERIDOT_PLATFORM");
    arguments.add_option("--output", context.output, "Output format: table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
    arguments
        .add_option("--timeout-ms", context.timeout_ms,
                    "Timeout of the whole command in milliseconds")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    peridot::add_contract_commands(arguments, context);
    peridot::add_move_commands(arguments, context);
    peridot::add_status_command(arguments, context);
    arguments.fallthrough();
    try {
        arguments.parse(argc, argv);
    } catch (CLI::ParseError const& parse_error) {
        return arguments.exit(parse_error) == 0 ? 0 : exit_usage;
    }
    return context.exit_code;
}
