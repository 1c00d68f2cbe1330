#include "configuration/configuration_snapshot.h"

#include "configuration/configuration_scope.h"
#include "configuration/contract_json.h"
#include "core/digest.h"

#include <algorithm>

namespace peridot {

namespace {

bool is_in_scope(workspace_entry const& entry, configuration_scope const& scope) {
    return scope.services.empty() ||
           std::any_of(entry.services.begin(), entry.services.end(),
                       [&](std::string const& service) { return scope.covers(service); });
}

result<std::string> fetch_verified(configuration_snapshot::chunk_source const& chunks,
                                   std::string const& name, std::string const& hash) {
    auto bytes = chunks(hash);
    if (bytes.empty()) {
        return error{result_code::chunk_missing, "chunk " + hash + " of " + name};
    }
    if (sha256_hex(bytes) != hash) {
        return error{result_code::hash_mismatch, "chunk " + hash + " of " + name};
    }
    return bytes;
}

} // namespace

std::vector<std::string> configuration_snapshot::required_chunks(manifest const& content,
                                                                 configuration_scope const& scope) {
    std::vector<std::string> hashes;
    for (auto const& [name, hash] : content.services) {
        if (scope.covers(name)) {
            hashes.push_back(hash);
        }
    }
    for (auto const& [name, entry] : content.workspaces) {
        if (is_in_scope(entry, scope)) {
            hashes.push_back(entry.chunk_hash);
        }
    }
    return hashes;
}

result<std::shared_ptr<configuration_snapshot const>>
configuration_snapshot::build(manifest content, std::string manifest_hash,
                              configuration_scope const& scope, chunk_source const& chunks) {
    if (sha256_hex(serialize(content)) != manifest_hash) {
        return error{result_code::hash_mismatch, "manifest " + manifest_hash};
    }
    std::shared_ptr<configuration_snapshot> snapshot(new configuration_snapshot);
    for (auto const& [name, hash] : content.services) {
        if (!scope.covers(name)) {
            continue;
        }
        auto const bytes = fetch_verified(chunks, name, hash);
        auto const added =
            is_ok(bytes) ? snapshot->add_service(name, value(bytes)) : failure(bytes);
        if (!is_ok(added)) {
            return failure(added);
        }
    }
    for (auto const& [name, entry] : content.workspaces) {
        if (!is_in_scope(entry, scope)) {
            continue;
        }
        auto const bytes = fetch_verified(chunks, name, entry.chunk_hash);
        auto const added =
            is_ok(bytes) ? snapshot->add_workspace(name, value(bytes), scope) : failure(bytes);
        if (!is_ok(added)) {
            return failure(added);
        }
    }
    snapshot->content = std::move(content);
    snapshot->hash = std::move(manifest_hash);
    auto const references = snapshot->check_references();
    if (!is_ok(references)) {
        return failure(references);
    }
    return std::shared_ptr<configuration_snapshot const>(std::move(snapshot));
}

contract const* configuration_snapshot::find_contract(std::string_view name) const {
    auto const found = this->workspace_contracts.find(name);
    return found == this->workspace_contracts.end() ? nullptr : &found->second;
}

service_chunk const* configuration_snapshot::find_service(std::string_view name) const {
    auto const found = this->service_chunks.find(name);
    return found == this->service_chunks.end() ? nullptr : &found->second;
}

status configuration_snapshot::add_service(std::string const& name, std::string const& bytes) {
    auto chunk = parse_service_chunk(bytes);
    if (!is_ok(chunk)) {
        return failure(chunk);
    }
    if (value(chunk).service != name) {
        return error{result_code::chunk_malformed,
                     "the chunk of service " + name + " contains a different service"};
    }
    this->service_chunks.emplace(name, value(std::move(chunk)));
    return success();
}

status configuration_snapshot::add_workspace(std::string const& name, std::string const& bytes,
                                             configuration_scope const& scope) {
    auto terms = parse_contract(bytes);
    if (!is_ok(terms)) {
        return failure(terms);
    }
    if (value(terms).workspace != name) {
        return error{result_code::chunk_malformed,
                     "the chunk of workspace " + name + " contains a different workspace"};
    }
    std::erase_if(value(terms).grants,
                  [&](service_grant const& grant) { return !scope.covers(grant.service); });
    this->workspace_contracts.emplace(name, value(std::move(terms)));
    return success();
}

status configuration_snapshot::check_references() const {
    for (auto const& [name, terms] : this->workspace_contracts) {
        for (auto const& grant : terms.grants) {
            if (this->find_service(grant.service) == nullptr) {
                return error{result_code::contract_dangling_reference,
                             "workspace " + name + " refers to service " + grant.service +
                                 ", which this version does not contain"};
            }
        }
    }
    return success();
}

} // namespace peridot
