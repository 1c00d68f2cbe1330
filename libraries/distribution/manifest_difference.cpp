#include "distribution/manifest_difference.h"

#include "configuration/json_reader.h"

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

namespace {

constexpr std::size_t most_removed = 65'536;

template<typename Entry>
void compare(std::map<std::string, Entry> const& from, std::map<std::string, Entry> const& to,
             std::map<std::string, Entry>& changed, std::vector<std::string>& removed) {
    for (auto const& [name, entry] : to) {
        auto const old = from.find(name);
        if (old == from.end() || !(old->second == entry)) {
            changed.emplace(name, entry);
        }
    }
    for (auto const& [name, entry] : from) {
        if (!to.contains(name)) {
            removed.push_back(name);
        }
    }
}

json::array to_array(std::vector<std::string> const& names) {
    return json::array(names.begin(), names.end());
}

std::vector<std::string> read_names(json_reader& reader, std::string_view key) {
    std::vector<std::string> names;
    for (auto const& name : reader.list(key, most_removed)) {
        if (!name.is_string()) {
            reader.reject(key, "must be a list of strings");
            break;
        }
        names.emplace_back(name.as_string());
    }
    return names;
}

} // namespace

manifest_difference difference(manifest const& from, manifest const& to) {
    manifest_difference change;
    change.version = to.version;
    compare(from.services, to.services, change.services, change.removed_services);
    compare(from.workspaces, to.workspaces, change.workspaces, change.removed_workspaces);
    return change;
}

manifest apply(manifest base, manifest_difference const& change) {
    base.version = change.version;
    for (auto const& name : change.removed_services) {
        base.services.erase(name);
    }
    for (auto const& name : change.removed_workspaces) {
        base.workspaces.erase(name);
    }
    for (auto const& [name, hash] : change.services) {
        base.services[name] = hash;
    }
    for (auto const& [name, entry] : change.workspaces) {
        base.workspaces[name] = entry;
    }
    return base;
}

std::string serialize(manifest_difference const& change) {
    manifest changed;
    changed.version = change.version;
    changed.services = change.services;
    changed.workspaces = change.workspaces;
    return json::serialize(
        json::object{{"changed", json::parse(serialize(changed))},
                     {"removed_services", to_array(change.removed_services)},
                     {"removed_workspaces", to_array(change.removed_workspaces)}});
}

result<manifest_difference> parse_manifest_difference(std::string_view text) {
    boost::system::error_code failed;
    auto const document = json::parse(text, failed);
    if (failed) {
        return error{result_code::manifest_malformed, "not JSON: " + failed.message()};
    }
    json_reader reader(document, "", result_code::manifest_malformed);
    manifest_difference change;
    auto const changed = parse_manifest(json::serialize(reader.object("changed")));
    change.removed_services = read_names(reader, "removed_services");
    change.removed_workspaces = read_names(reader, "removed_workspaces");
    auto const outcome = reader.finish();
    if (!is_ok(outcome) || !is_ok(changed)) {
        return is_ok(outcome) ? failure(changed) : failure(outcome);
    }
    change.version = value(changed).version;
    change.services = value(changed).services;
    change.workspaces = value(changed).workspaces;
    return change;
}

} // namespace peridot
