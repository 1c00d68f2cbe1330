#include "edits/edit_planner.h"

#include "configuration/contract_json.h"
#include "configuration/service_chunk.h"
#include "core/digest.h"
#include "platform/object_client.h"
#include "platform/table_client.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

class planner {
public:
    planner(manifest const& current, table_client& table, object_client& objects,
            steady_time deadline)
        : table(table), objects(objects), deadline(deadline) {
        this->plan.next = current;
    }

    asio::awaitable<result<edit_plan>> operator()(contract_put const& change) {
        auto const& terms = change.terms;
        workspace_entry entry;
        for (auto const& grant : terms.grants) {
            entry.services.push_back(grant.service);
            if (!this->plan.next.services.contains(grant.service)) {
                auto const created = this->create_service(grant);
                if (!is_ok(created)) {
                    co_return failure(created);
                }
            }
        }
        auto const text = serialize(terms);
        entry.chunk_hash = this->add_chunk(text);
        this->plan.next.workspaces[terms.workspace] = std::move(entry);
        this->plan.subject_content = text;
        this->plan.summary = "contract of " + terms.workspace;
        co_return std::move(this->plan);
    }

    asio::awaitable<result<edit_plan>> operator()(contract_delete const& change) {
        if (this->plan.next.workspaces.erase(change.workspace) == 0) {
            co_return error{result_code::contract_not_found, "no contract of " + change.workspace};
        }
        this->plan.summary = "end of the contract of " + change.workspace;
        co_return std::move(this->plan);
    }

    asio::awaitable<result<edit_plan>> operator()(version_revert const& change) {
        auto row =
            co_await this->table.read("versions/" + std::to_string(change.version), this->deadline);
        if (!is_ok(row)) {
            co_return failure(row);
        }
        boost::system::error_code failed;
        auto const record = json::parse(value(row).value, failed);
        auto const* hash =
            record.is_object() ? record.as_object().if_contains("manifest") : nullptr;
        if (hash == nullptr || !hash->is_string()) {
            co_return error{result_code::version_not_found,
                            "version " + std::to_string(change.version) + " is not recorded"};
        }
        auto bytes = co_await read_verified(this->objects, "manifests",
                                            std::string(hash->as_string()), this->deadline);
        if (!is_ok(bytes)) {
            co_return failure(bytes);
        }
        auto old = parse_manifest(value(bytes));
        if (!is_ok(old)) {
            co_return failure(old);
        }
        // Services that were created after the earlier version are kept, and services that exist in
        // both versions keep their current target version.
        this->plan.next.workspaces = value(old).workspaces;
        this->plan.next.services.insert(value(old).services.begin(), value(old).services.end());
        this->plan.subject_content = json::serialize(json::object{{"reverted_to", change.version}});
        this->plan.summary = "contracts as of version " + std::to_string(change.version);
        co_return std::move(this->plan);
    }

    asio::awaitable<result<edit_plan>> operator()(move_put const& change) {
        auto chunk = co_await this->read_service(change.service);
        if (!is_ok(chunk)) {
            co_return failure(chunk);
        }
        auto& content = value(chunk);
        if (!content.move.empty() && move_id(content.move) != change.id) {
            co_return error{result_code::move_conflict, "service " + change.service +
                                                            " already has the move " +
                                                            move_id(content.move)};
        }
        auto const allowed = co_await this->check_declaration(change, content);
        if (!is_ok(allowed)) {
            co_return failure(allowed);
        }
        content.move = change.plan;
        this->plan.next.services[change.service] = this->add_chunk(serialize(content));
        this->plan.subject_content =
            json::serialize(json::object{{"service", change.service},
                                         {"state", "declared"},
                                         {"plan", json::parse(change.plan)}});
        this->plan.summary = "move " + change.id + " of " + change.service;
        co_return std::move(this->plan);
    }

    asio::awaitable<result<edit_plan>> operator()(move_finish const& change) {
        auto chunk = co_await this->read_service(change.service);
        if (!is_ok(chunk)) {
            co_return failure(chunk);
        }
        auto& content = value(chunk);
        if (content.move.empty() || move_id(content.move) != change.id) {
            co_return error{result_code::move_finished,
                            "service " + change.service + " has no move " + change.id};
        }
        json::object record{{"service", change.service}, {"state", "finished"}};
        record["plan"] = json::parse(content.move);
        record["target_version"] = change.target_version;
        record["decision"] = json::parse(change.decision);
        content.move.clear();
        content.target_version = change.target_version;
        this->plan.next.services[change.service] = this->add_chunk(serialize(content));
        this->plan.subject_content = json::serialize(record);
        this->plan.summary = "end of move " + change.id + " of " + change.service;
        co_return std::move(this->plan);
    }

private:
    static std::string move_id(std::string const& plan) {
        boost::system::error_code failed;
        auto const document = json::parse(plan, failed);
        auto const* id = document.is_object() ? document.as_object().if_contains("id") : nullptr;
        return id != nullptr && id->is_string() ? std::string(id->as_string()) : std::string();
    }

    static json::value field_of(std::string const& document, std::string_view key) {
        boost::system::error_code failed;
        auto const parsed = json::parse(document, failed);
        auto const* found = parsed.is_object() ? parsed.as_object().if_contains(key) : nullptr;
        return found == nullptr ? json::value(nullptr) : *found;
    }

    // A move that is finished, or that an operator has taken back, remains in that state, even if a
    // pause or resume that was planned earlier is committed later.
    asio::awaitable<status> check_declaration(move_put const& change, service_chunk const& held) {
        if (field_of(change.plan, "from") != json::value(held.target_version)) {
            co_return error{result_code::move_conflict, "service " + held.service +
                                                            " is at target version " +
                                                            held.target_version};
        }
        if (!held.move.empty()) {
            bool const undoes_take_back = !field_of(held.move, "taken_back_ms").is_null() &&
                                          field_of(change.plan, "taken_back_ms").is_null();
            if (undoes_take_back) {
                co_return error{result_code::move_finished,
                                "move " + change.id + " was taken back"};
            }
            co_return success();
        }
        auto const row = co_await this->table.read("moves/" + change.id, this->deadline);
        if (!is_ok(row)) {
            co_return failure(row);
        }
        if (value(row).revision != 0) {
            co_return error{result_code::move_finished,
                            "move " + change.id + " is recorded as finished"};
        }
        co_return success();
    }

    std::string add_chunk(std::string const& bytes) {
        auto hash = sha256_hex(bytes);
        this->plan.chunks.emplace_back(hash, bytes);
        return hash;
    }

    status create_service(service_grant const& grant) {
        if (grant.initial_target_version.empty()) {
            return error{
                result_code::contract_unknown_service,
                "service " + grant.service +
                    " does not exist; its first grant must contain initial_target_version"};
        }
        this->plan.next.services[grant.service] = this->add_chunk(
            serialize(service_chunk{grant.service, grant.initial_target_version, {}}));
        return success();
    }

    asio::awaitable<result<service_chunk>> read_service(std::string service) {
        auto const found = this->plan.next.services.find(service);
        if (found == this->plan.next.services.end()) {
            co_return error{result_code::contract_unknown_service,
                            "service " + service + " does not exist"};
        }
        auto bytes = co_await read_verified(this->objects, "chunks", found->second, this->deadline);
        if (!is_ok(bytes)) {
            co_return failure(bytes);
        }
        co_return parse_service_chunk(value(bytes));
    }

    table_client& table;
    object_client& objects;
    steady_time deadline;
    edit_plan plan;
};

} // namespace

asio::awaitable<result<edit_plan>> plan_edit(edit const& change, manifest const& current,
                                             table_client& table, object_client& objects,
                                             steady_time deadline) {
    planner visitor(current, table, objects, deadline);
    co_return co_await std::visit(visitor, change);
}

asio::awaitable<result<std::string>> read_verified(object_client& objects, std::string folder,
                                                   std::string hash, steady_time deadline) {
    auto bytes = co_await objects.get(folder + "/" + hash, deadline);
    if (is_ok(bytes) && sha256_hex(value(bytes)) != hash) {
        co_return error{result_code::hash_mismatch, folder + "/" + hash};
    }
    co_return bytes;
}

} // namespace peridot
