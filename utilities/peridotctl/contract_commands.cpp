#include "contract_commands.h"

#include "command_context.h"
#include "configuration/contract_json.h"
#include "edit_acceptance.h"
#include "platform_session.h"
#include "row_listing.h"
#include "text_table.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace peridot {

namespace {

namespace json = boost::json;

result<contract> read_contract_file(std::string const& path) {
    std::ifstream file(path);
    if (!file) {
        return error{result_code::settings_unreadable, "cannot read " + path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = parse_contract(text.str());
    if (!is_ok(parsed)) {
        return error{failure(parsed).code, path + ": " + failure(parsed).message};
    }
    return parsed;
}

void submit(command_context& context, edit const& change) {
    auto const session = context.open_session();
    if (session) {
        accept_edit(context, *session, change);
    }
}

void apply(command_context& context, std::string const& path, std::uint64_t base_revision) {
    auto file_contract = read_contract_file(path);
    if (!is_ok(file_contract)) {
        context.fail(failure(file_contract));
        return;
    }
    contract_put change{value(std::move(file_contract)), std::nullopt};
    if (base_revision != 0) {
        change.base_revision = base_revision;
    }
    submit(context, std::move(change));
}

// Returns the content of a contract's row, or null if the contract was deleted.
json::value content_of(table_row const& row) {
    boost::system::error_code failed;
    auto const document = json::parse(row.value, failed);
    auto const* content =
        document.is_object() ? document.as_object().if_contains("content") : nullptr;
    return content == nullptr ? json::value(nullptr) : *content;
}

void get(command_context& context, std::string const& workspace) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    auto const row =
        session->run(session->table.read("contracts/" + workspace, session->deadline()));
    if (!is_ok(row)) {
        context.fail(failure(row));
        return;
    }
    auto const content = content_of(value(row));
    if (content.is_null()) {
        context.fail({result_code::contract_not_found, "no contract of workspace " + workspace});
        return;
    }
    std::cout << json::serialize(content) << "\n";
}

void list(command_context& context) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    json::array entries;
    auto const rows = list_rows(*session, "contracts/");
    if (!is_ok(rows)) {
        context.fail(failure(rows));
        return;
    }
    for (auto const& row : value(rows)) {
        auto const content = content_of(row);
        if (content.is_object()) {
            auto const grants = content.as_object().at("grants").as_array().size();
            entries.push_back({{"workspace", content.as_object().at("workspace")},
                               {"grants", grants},
                               {"revision", row.revision}});
        }
    }
    if (context.is_json()) {
        std::cout << json::serialize(entries) << "\n";
        return;
    }
    print_table(std::cout, {"workspace", "grants", "revision"}, entries);
}

void diff(command_context& context, std::string const& path) {
    auto const file_contract = read_contract_file(path);
    if (!is_ok(file_contract)) {
        context.fail(failure(file_contract));
        return;
    }
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    auto const row = session->run(
        session->table.read("contracts/" + value(file_contract).workspace, session->deadline()));
    if (!is_ok(row)) {
        context.fail(failure(row));
        return;
    }
    auto const current = json::serialize(content_of(value(row)));
    auto const proposed = serialize(value(file_contract));
    json::object const outcome{{"changed", current != proposed},
                               {"held", content_of(value(row))},
                               {"next", json::parse(proposed)},
                               {"revision", value(row).revision}};
    if (context.is_json()) {
        std::cout << json::serialize(outcome) << "\n";
    } else if (current == proposed) {
        std::cout << "no difference\n";
    } else {
        std::cout << "- " << current << "\n+ " << proposed << "\n";
    }
}

void validate(command_context& context, std::vector<std::string> const& paths) {
    for (auto const& path : paths) {
        auto const file_contract = read_contract_file(path);
        if (!is_ok(file_contract)) {
            context.fail(failure(file_contract));
            continue;
        }
        std::cout << path << ": valid\n";
    }
}

} // namespace

void add_contract_commands(CLI::App& root, command_context& context) {
    auto* group = root.add_subcommand("contract", "Manage the contracts of workspaces");
    group->require_subcommand(1);

    auto path = std::make_shared<std::string>();
    auto workspace = std::make_shared<std::string>();
    auto number = std::make_shared<std::uint64_t>(0);

    auto* apply_command =
        group->add_subcommand("apply", "Create or replace a contract from a JSON file");
    apply_command->add_option("file", *path, "Contract file")->required();
    apply_command->add_option("--base-revision", *number,
                              "Fail if the contract has changed since this revision");
    apply_command->callback([&context, path, number] { apply(context, *path, *number); });

    auto* get_command = group->add_subcommand("get", "Print a contract");
    get_command->add_option("workspace", *workspace, "Workspace")->required();
    get_command->callback([&context, workspace] { get(context, *workspace); });

    group->add_subcommand("list", "List the contracts")->callback([&context] { list(context); });

    auto* diff_command = group->add_subcommand("diff", "Compare a file with the accepted contract");
    diff_command->add_option("file", *path, "Contract file")->required();
    diff_command->callback([&context, path] { diff(context, *path); });

    auto* delete_command = group->add_subcommand("delete", "Delete a contract");
    delete_command->add_option("workspace", *workspace, "Workspace")->required();
    delete_command->callback(
        [&context, workspace] { submit(context, contract_delete{*workspace}); });

    auto* revert_command = group->add_subcommand(
        "revert", "Create a new version with the contracts of an earlier one");
    revert_command->add_option("version", *number, "Version whose contracts are restored")
        ->required();
    revert_command->callback([&context, number] { submit(context, version_revert{*number}); });

    auto paths = std::make_shared<std::vector<std::string>>();
    auto* validate_command =
        root.add_subcommand("validate", "Validate contract files without contacting the platform");
    validate_command->add_option("files", *paths, "Contract files")->required();
    validate_command->callback([&context, paths] { validate(context, *paths); });
}

} // namespace peridot
