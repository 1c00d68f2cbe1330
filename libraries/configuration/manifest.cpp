#include "configuration/manifest.h"

#include "configuration/json_reader.h"

#include <boost/json.hpp>

#include <limits>

namespace peridot {

namespace json = boost::json;

namespace {

constexpr std::size_t max_services_per_workspace = 256;

workspace_entry read_workspace(json::value const& source, std::string const& path,
                               json_reader& parent) {
    json_reader reader(source, path, result_code::manifest_malformed);
    workspace_entry entry;
    entry.chunk_hash = reader.text("chunk");
    for (auto const& service : reader.list("services", max_services_per_workspace)) {
        if (!service.is_string()) {
            reader.reject("services", "must be a list of strings");
            break;
        }
        entry.services.emplace_back(service.as_string());
    }
    (void)reader.finish();
    parent.merge_error(reader);
    return entry;
}

} // namespace

result<manifest> parse_manifest(std::string_view text) {
    boost::system::error_code failed;
    auto const document = json::parse(text, failed);
    if (failed) {
        return error{result_code::manifest_malformed, "not JSON: " + failed.message()};
    }
    json_reader reader(document, "", result_code::manifest_malformed);
    manifest content;
    content.version = reader.integer("version", 1, std::numeric_limits<std::uint64_t>::max());
    for (auto const& entry : reader.object("services")) {
        if (!entry.value().is_string()) {
            reader.reject("services", "must map names to hashes");
            break;
        }
        content.services.emplace(entry.key(), entry.value().as_string());
    }
    for (auto const& entry : reader.object("workspaces")) {
        std::string const name(entry.key());
        content.workspaces.emplace(name,
                                   read_workspace(entry.value(), "/workspaces/" + name, reader));
    }
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return content;
}

std::string serialize(manifest const& content) {
    json::object services;
    for (auto const& [name, hash] : content.services) {
        services[name] = hash;
    }
    json::object workspaces;
    for (auto const& [name, entry] : content.workspaces) {
        workspaces[name] = {
            {"chunk", entry.chunk_hash},
            {"services", json::array(entry.services.begin(), entry.services.end())}};
    }
    return json::serialize(json::object{{"version", content.version},
                                        {"services", std::move(services)},
                                        {"workspaces", std::move(workspaces)}});
}

} // namespace peridot
