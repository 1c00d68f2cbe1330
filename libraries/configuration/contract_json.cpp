#include "configuration/contract_json.h"

#include "configuration/json_reader.h"
#include "configuration/names.h"

#include <boost/json.hpp>

#include <set>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::size_t max_grants = 256;
constexpr std::size_t max_routes = 256;
constexpr std::size_t max_methods = 16;
constexpr std::uint64_t max_timeout_ms = 300'000;
constexpr double max_rate = 1e7;
constexpr std::uint64_t max_concurrency = 1'000'000;

std::string read_name(json_reader& reader, std::string_view key) {
    auto name = reader.text(key);
    if (!is_valid_name(name)) {
        reader.reject(key, "must be 1 to 64 characters of a-z, 0-9 and '-'");
    }
    return name;
}

request_class read_class(json_reader& reader) {
    auto const text = reader.text("class");
    if (text != "interactive" && text != "background") {
        reader.reject("class", "must be interactive or background");
    }
    return text == "background" ? request_class::background : request_class::interactive;
}

route read_route(json::value const& source, std::string path, json_reader& parent) {
    json_reader reader(source, std::move(path), result_code::contract_malformed);
    route parsed;
    parsed.path_prefix = reader.text("path_prefix");
    if (!parsed.path_prefix.starts_with('/') || parsed.path_prefix.size() > 512) {
        reader.reject("path_prefix", "must begin with '/' and have at most 512 characters");
    }
    if (reader.has("methods")) {
        for (auto const& method : reader.list("methods", max_methods)) {
            if (!method.is_string()) {
                reader.reject("methods", "must be a list of strings");
                break;
            }
            parsed.methods.emplace_back(method.as_string());
        }
    }
    if (reader.has("idempotent")) {
        parsed.idempotent = reader.boolean("idempotent");
    }
    if (reader.has("timeout_ms")) {
        parsed.timeout = milliseconds(reader.integer("timeout_ms", 1, max_timeout_ms));
    }
    if (reader.has("class")) {
        parsed.traffic_class = read_class(reader);
    }
    if (reader.has("session_header")) {
        parsed.session_header = reader.text("session_header");
    }
    if (reader.has("deduplicates")) {
        parsed.deduplicates = reader.boolean("deduplicates");
    }
    (void)reader.finish();
    parent.merge_error(reader);
    return parsed;
}

usage_limit read_limit(json::value const& source, std::string path, json_reader& parent) {
    json_reader reader(source, std::move(path), result_code::contract_impossible_limit);
    usage_limit parsed;
    parsed.requests_per_second = reader.number("requests_per_second", 0.01, max_rate);
    parsed.burst = reader.number("burst", 1, max_rate);
    parsed.concurrency =
        static_cast<std::uint32_t>(reader.integer("concurrency", 1, max_concurrency));
    (void)reader.finish();
    parent.merge_error(reader);
    return parsed;
}

service_grant read_grant(json::value const& source, std::string const& path, json_reader& parent) {
    json_reader reader(source, path, result_code::contract_malformed);
    service_grant parsed;
    parsed.service = read_name(reader, "service");
    if (reader.has("initial_target_version")) {
        parsed.initial_target_version = read_name(reader, "initial_target_version");
    }
    std::size_t index = 0;
    std::set<std::string> prefixes;
    for (auto const& entry : reader.list("routes", max_routes)) {
        auto const entry_path = path + "/routes/" + std::to_string(index++);
        parsed.routes.push_back(read_route(entry, entry_path, reader));
        auto const& added = parsed.routes.back();
        std::string methods;
        for (auto const& method : added.methods) {
            methods += method + " ";
        }
        if (!prefixes.insert(methods + added.path_prefix).second) {
            reader.reject("routes/" + std::to_string(index - 1), "repeats an earlier route");
        }
    }
    if (parsed.routes.empty()) {
        reader.reject("routes", "must have at least one route");
    }
    parsed.limit = read_limit(reader.object("limit"), path + "/limit", reader);
    (void)reader.finish();
    parent.merge_error(reader);
    return parsed;
}

json::object to_json(route const& source) {
    json::object object{{"path_prefix", source.path_prefix}};
    if (!source.methods.empty()) {
        object["methods"] = json::array(source.methods.begin(), source.methods.end());
    }
    if (source.idempotent) {
        object["idempotent"] = *source.idempotent;
    }
    object["timeout_ms"] = source.timeout.count();
    object["class"] =
        source.traffic_class == request_class::background ? "background" : "interactive";
    if (!source.session_header.empty()) {
        object["session_header"] = source.session_header;
    }
    if (source.deduplicates) {
        object["deduplicates"] = true;
    }
    return object;
}

json::object to_json(service_grant const& source) {
    json::object object{{"service", source.service}};
    if (!source.initial_target_version.empty()) {
        object["initial_target_version"] = source.initial_target_version;
    }
    json::array routes;
    for (auto const& entry : source.routes) {
        routes.push_back(to_json(entry));
    }
    object["routes"] = std::move(routes);
    object["limit"] = {{"requests_per_second", source.limit.requests_per_second},
                       {"burst", source.limit.burst},
                       {"concurrency", source.limit.concurrency}};
    return object;
}

} // namespace

result<contract> parse_contract(std::string_view text) {
    boost::system::error_code failed;
    auto const document = json::parse(text, failed);
    if (failed) {
        return error{result_code::contract_malformed, "not JSON: " + failed.message()};
    }
    json_reader reader(document, "", result_code::contract_malformed);
    contract parsed;
    parsed.workspace = read_name(reader, "workspace");
    parsed.credential_sha256 = reader.text("credential_sha256");
    bool const is_digest =
        parsed.credential_sha256.size() == 64 &&
        parsed.credential_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_digest) {
        reader.reject("credential_sha256", "must be 64 hexadecimal digits");
    }
    std::set<std::string> services;
    std::size_t index = 0;
    for (auto const& entry : reader.list("grants", max_grants)) {
        auto const entry_path = "grants/" + std::to_string(index++);
        parsed.grants.push_back(read_grant(entry, "/" + entry_path, reader));
        if (!services.insert(parsed.grants.back().service).second) {
            reader.reject(entry_path, "repeats a service");
        }
    }
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return parsed;
}

std::string serialize(contract const& terms) {
    json::array grants;
    for (auto const& grant : terms.grants) {
        grants.push_back(to_json(grant));
    }
    return json::serialize(json::object{{"workspace", terms.workspace},
                                        {"credential_sha256", terms.credential_sha256},
                                        {"grants", std::move(grants)}});
}

} // namespace peridot
