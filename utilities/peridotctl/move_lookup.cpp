#include "move_lookup.h"

#include "configuration/configuration_head.h"
#include "configuration/manifest.h"
#include "edits/edit_planner.h"
#include "platform_session.h"

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

result<service_chunk> read_service(platform_session& session, std::string const& service) {
    auto const row = session.run(session.table.read("head", session.deadline()));
    if (!is_ok(row)) {
        return failure(row);
    }
    error const unknown{result_code::contract_unknown_service,
                        "service " + service + " is unknown"};
    if (value(row).revision == 0) {
        return unknown;
    }
    auto const head = parse_head(value(row).value);
    if (!is_ok(head)) {
        return failure(head);
    }
    auto const text = session.run(
        read_verified(session.objects, "manifests", value(head).manifest_hash, session.deadline()));
    if (!is_ok(text)) {
        return failure(text);
    }
    auto const content = parse_manifest(value(text));
    if (!is_ok(content)) {
        return failure(content);
    }
    auto const found = value(content).services.find(service);
    if (found == value(content).services.end()) {
        return unknown;
    }
    auto const bytes =
        session.run(read_verified(session.objects, "chunks", found->second, session.deadline()));
    if (!is_ok(bytes)) {
        return failure(bytes);
    }
    return parse_service_chunk(value(bytes));
}

result<json::object> read_move_row(platform_session& session, std::string const& id) {
    auto const row = session.run(session.table.read("moves/" + id, session.deadline()));
    if (!is_ok(row)) {
        return failure(row);
    }
    boost::system::error_code failed;
    auto const document = json::parse(value(row).value, failed);
    auto const* content =
        document.is_object() ? document.as_object().if_contains("content") : nullptr;
    if (content == nullptr || !content->is_object()) {
        return error{result_code::move_not_found, "unknown move " + id};
    }
    return content->as_object();
}

result<move_declaration> read_running_move(platform_session& session, std::string const& id) {
    auto const row = read_move_row(session, id);
    if (!is_ok(row)) {
        return failure(row);
    }
    auto const* service = value(row).if_contains("service");
    auto const* state = value(row).if_contains("state");
    if (state != nullptr && *state == "finished") {
        return error{result_code::move_finished, "move " + id + " is recorded as finished"};
    }
    if (service == nullptr || !service->is_string()) {
        return error{result_code::move_malformed,
                     "the row of move " + id + " has no service field"};
    }
    auto const chunk = read_service(session, std::string(service->as_string()));
    if (!is_ok(chunk)) {
        return failure(chunk);
    }
    auto declared = decode_move_declaration(value(chunk).move, 0);
    if (!is_ok(declared)) {
        return failure(declared);
    }
    if (value(declared).plan.id != id) {
        return error{result_code::move_finished, "move " + id + " is no longer running"};
    }
    return declared;
}

} // namespace peridot
