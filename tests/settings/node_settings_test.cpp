#include "settings/checked_document.h"
#include "settings/node_settings.h"
#include "settings/platform_settings.h"
#include "settings/target_settings.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

using namespace peridot;

namespace {

std::string example(std::string_view name) {
    std::string file = PERIDOT_SOURCE_DIRECTORY "/examples/kasbah/";
    file += name;
    return file += ".json";
}

std::string const minimal = R"("instance": "a", "ip": "127.0.0.1", "availability_zone": "ariana",
"region": "kasbah", "platform": {"ip": "127.0.0.1", "port": 1})";

/// Checks that the text is rejected with the given code and message.
void check_rejected(std::string const& text, result_code code, std::string const& message) {
    auto const outcome = parse_node_settings(text, "f");
    CHECK_FALSE(is_ok(outcome));
    UNSIGNED_LONGS_EQUAL(static_cast<unsigned>(code), static_cast<unsigned>(failure(outcome).code));
    STRCMP_EQUAL(message.c_str(), failure(outcome).message.c_str());
}

void check_invalid(std::string const& addition, std::string const& message) {
    check_rejected("{" + minimal + ", " + addition + "}", result_code::settings_invalid, message);
}

} // namespace

TEST_GROUP(node_settings){};

// Guards against example files that the program rejects.
TEST(node_settings, the_examples_load) {
    for (std::string const zone : {"ariana", "ben-arous", "la-marsa"}) {
        auto const node = load_node_settings(example("node-" + zone));
        CHECK_TRUE(is_ok(node));
        STRCMP_EQUAL(zone.c_str(), value(node).availability_zone.c_str());
        UNSIGNED_LONGS_EQUAL(3, value(node).seeds.size());
        UNSIGNED_LONGS_EQUAL(7404, value(node).ports.admin);
        auto const target = load_target_settings(example("target-" + zone));
        CHECK_TRUE(is_ok(target));
        CHECK_TRUE(value(target).cold_start == milliseconds(2000));
        CHECK_TRUE(value(target).node_admin == (socket_address{value(node).ip, 7404}));
    }
    auto const platform = load_platform_settings(example("platform"));
    CHECK_TRUE(is_ok(platform));
    CHECK_TRUE(value(platform).latency == milliseconds(2));
}

// Guards against defaults that differ from docs/settings.md.
TEST(node_settings, absent_keys_take_their_defaults) {
    auto const outcome = parse_node_settings("{" + minimal + "}", "f");
    CHECK_TRUE(is_ok(outcome));
    auto const& settings = value(outcome);
    UNSIGNED_LONGS_EQUAL(2, settings.workers);
    CHECK_TRUE(settings.drain_time == milliseconds(10'000));
    UNSIGNED_LONGS_EQUAL(0, settings.ports.calls);
    CHECK_FALSE(settings.scope.has_value());
    CHECK_FALSE(settings.trace_collector.has_value());
    CHECK_TRUE(settings.log_level == log::level::info);
}

// Guards against optional values that are validated but not stored in the struct.
TEST(node_settings, optional_values_are_stored) {
    auto const outcome = parse_node_settings(
        "{" + minimal +
            R"(, "scope": ["payouts"], "log_level": "error", "ports": {"gossip": 65535},
               "workers": 16, "trace_collector": {"ip": "::1", "port": 4318}})",
        "f");
    CHECK_TRUE(is_ok(outcome));
    STRCMP_EQUAL("payouts", value(outcome).scope->at(0).c_str());
    UNSIGNED_LONGS_EQUAL(65535, value(outcome).ports.gossip);
    UNSIGNED_LONGS_EQUAL(4318, value(outcome).trace_collector->port);
    UNSIGNED_LONGS_EQUAL(16, value(outcome).workers);
    CHECK_TRUE(value(outcome).log_level == log::level::error);
}

// Guards against errors that do not state the location and the reason.
TEST(node_settings, an_error_names_the_value_and_the_reason) {
    check_invalid(R"("worker": 2)", "f: /worker: unknown key.");
    check_invalid(R"("seeds": [{"ip": "127.0.0.1", "port": 1, "name": ""}])",
                  "f: /seeds/0/name: unknown key.");
    check_invalid(R"("seeds": [{"ip": "127.0.0.1", "port": 1}, {"ip": "127.0.0.1"}])",
                  "f: /seeds/1/port: missing key \"port\".");
    check_invalid(R"("workers": "2")",
                  "f: /workers: wrong type: expected integer, found a string.");
    check_invalid(R"("workers": 2.5)", "f: /workers: wrong type: expected integer, found a number "
                                       "with a fraction or exponent.");
    check_invalid(R"("ports": [])", "f: /ports: wrong type: expected object, found an array.");
    check_invalid(R"("workers": 17)", "f: /workers: out of range: must be from 1 to 16.");
    check_invalid(R"("workers": -1)", "f: /workers: out of range: must be from 1 to 16.");
    check_invalid(R"("drain_time_ms": 18446744073709551615)",
                  "f: /drain_time_ms: out of range: must be from 0 to 600000.");
    check_invalid(R"("ports": {"peers": 65536})",
                  "f: /ports/peers: out of range: must be from 0 to 65535.");
    check_invalid(R"("log_level": "loud")",
                  "f: /log_level: out of range: must be one of debug, info, warning, error.");
    check_invalid(R"("scope": ["a/b"])",
                  "f: /scope/0: out of range: must match ^[a-z0-9][a-z0-9._-]*$.");
    check_invalid(R"("trace_collector": {"ip": "::1\u0000", "port": 1})",
                  "f: /trace_collector/ip: out of range: must not contain the character U+0000.");
    check_invalid(R"("trace_collector": {"ip": "localhost", "port": 1})",
                  "f: /trace_collector/ip: out of range: must be a numeric IP address.");
    check_rejected("{}", result_code::settings_invalid, "f: /instance: missing key \"instance\".");
    check_rejected("[]", result_code::settings_invalid,
                   "f: wrong type: expected object, found an array.");
}

// Guards against syntax errors that are reported without a position.
TEST(node_settings, malformed_text_is_reported_with_line_and_column) {
    check_rejected("{\n  \"instance\": x}", result_code::settings_malformed,
                   "f: not JSON (syntax error) at line 2, column 15.");
    check_rejected("{} {}", result_code::settings_malformed,
                   "f: not JSON (extra data) at line 1, column 4.");
    check_rejected("", result_code::settings_malformed,
                   "f: not JSON (incomplete JSON) at line 1, column 1.");
    check_rejected(std::string(100'000, '['), result_code::settings_malformed,
                   "f: nested deeper than 32 levels at line 1, column 33.");
}

// Guards against unbounded reads, and against crashes on missing files, directories and devices.
TEST(node_settings, unreadable_files_are_rejected) {
    for (char const* file : {"/nonexistent/file", "/", "/dev/zero"}) {
        auto const outcome = load_node_settings(file);
        CHECK_FALSE(is_ok(outcome));
        CHECK_TRUE(failure(outcome).code == result_code::settings_unreadable);
    }
}
