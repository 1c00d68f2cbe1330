#include "mesh/caller_limits.h"
#include "mesh/mesh_configuration.h"
#include "mesh/mesh_route.h"
#include "mesh/service_terms.h"
#include "mesh/workspace.h"
#include "platform/base64.h"
#include "platform/bounds.h"
#include "platform/decoders.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace peridot;

namespace {

constexpr std::uint64_t mutation_seed = 4711;
constexpr int mutations = 4000;

std::string const configuration_text = R"({"Version":"r7","BaseVersion":"r5","Resources":[
{"TypeUrl":"Routes","Metadata":{"Name":"one"},"Spec":{"Host":"a.example","Prefix":"/x/",
"Kind":"idempotent","TimeoutS":1.5,"TargetLatencyS":0.6,"Priority":2,
"WeightedClusters":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"Attempts":2}},
{"TypeUrl":"Routes","Metadata":{"Name":"two"},"Spec":{"Host":"b.example","Prefix":"/y/",
"Kind":"non_idempotent","TimeoutS":1.2,"TargetLatencyS":0.8,"Priority":1,"Service":"s1","Attempts":2}},
{"TypeUrl":"Services","Metadata":{"Name":"s1"},"Spec":{"HealthPath":"/health","MaxConnections":120}},
{"TypeUrl":"Services","Metadata":{"Name":"s2"},"Spec":{"HealthPath":"/health","MaxConnections":110}},
{"TypeUrl":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutS":3,"IdleTimeoutS":15}}]})";

std::string const heartbeat_text =
    R"({"Address":"10.0.0.9:80","Info":{"Service":"s1","Version":"v1","Zone":"z","Slots":12},)"
    R"("Status":{"State":"ready","Seq":4,"ColdRemainingS":0.5},"born":1700000000123})";

std::string replaced(std::string text, std::string const& from, std::string const& to) {
    auto const place = text.find(from);
    CHECK_TEXT(place != std::string::npos, from.c_str());
    return text.replace(place, from.size(), to);
}

std::string mutate(std::string text, std::mt19937_64& random) {
    for (auto edits = 1 + random() % 3; edits > 0 && !text.empty(); --edits) {
        auto const at = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 12);
            break;
        default:
            text.insert(at, text.substr(at, 1 + random() % 20));
            break;
        }
    }
    return text;
}

} // namespace

TEST_GROUP(decode_configuration){};

// Guards against a wire field that is decoded into the wrong member.
TEST(decode_configuration, every_field_is_read) {
    auto const read = decode_configuration(configuration_text);
    CHECK(is_ok(read));
    auto const& configuration = *value(read);
    UNSIGNED_LONGS_EQUAL(7, configuration.version());
    auto const* one = configuration.find("a.example", "/x/1");
    CHECK(one != nullptr);
    CHECK(one->kind == request_kind::idempotent);
    CHECK(one->timeout == milliseconds(1500));
    CHECK(one->target_latency == milliseconds(600));
    UNSIGNED_LONGS_EQUAL(2, one->priority);
    UNSIGNED_LONGS_EQUAL(2, one->attempts);
    UNSIGNED_LONGS_EQUAL(2, one->services.size());
    DOUBLES_EQUAL(90, one->services[0].weight, 0);
    CHECK(configuration.find("b.example", "/y/")->kind == request_kind::non_idempotent);
    UNSIGNED_LONGS_EQUAL(110, configuration.find_service("s2")->connections);
    CHECK(configuration.limits().idle_timeout == seconds(15));
}

namespace {

// A configuration with one workspace, and with the given further resources.
std::string text_with_workspaces(std::string const& more) {
    return R"({"Version":"r8","Resources":[
{"TypeUrl":"Routes","Metadata":{"Name":"one"},"Spec":{"Host":"a.example","Prefix":"/x/",
"Kind":"idempotent","TimeoutS":1.5,"Service":"s1","Public":true}},
{"TypeUrl":"Services","Metadata":{"Name":"s1"},"Spec":{"MaxConnections":120,"ColdStartS":3.0,"ColdPerS":13}},
{"TypeUrl":"Tenants","Metadata":{"Name":"bakery"},"Spec":{"ApiKeys":["k1","k2"],"Priority":1,
"RatePerS":531,"Burst":53.5}})" +
           more + "]}";
}

std::string workspace_text(std::string const& name, std::string const& spec) {
    return R"(,{"TypeUrl":"Tenants","Metadata":{"Name":")" + name + R"("},"Spec":{)" + spec + "}}";
}

} // namespace

// Guards against workspaces, public routes and terms of cold targets that are read wrongly.
TEST(decode_configuration, workspaces_and_cold_targets_are_read) {
    auto const decoded =
        decode_configuration(text_with_workspaces(workspace_text("mill", R"("ApiKeys":[])")));
    CHECK(is_ok(decoded));
    auto const& configuration = *value(decoded);
    UNSIGNED_LONGS_EQUAL(2, configuration.workspaces().size());
    auto const* bakery = configuration.find_workspace("k2");
    CHECK(bakery != nullptr);
    CHECK(*bakery == (workspace{"bakery", 1U, 531, 53.5}));
    CHECK_FALSE(configuration.workspaces()[1].has_quota());
    CHECK(configuration.find("a.example", "/x/")->is_public);
    CHECK(configuration.find_service("s1")->cold_start == milliseconds(3000));
    DOUBLES_EQUAL(13, configuration.find_service("s1")->cold_rate.value_or(0), 0);
}

// Guards against workspaces that are taken although a part of them is invalid: the key of one would
// open another, or a quota would be none.
TEST(decode_configuration, invalid_workspace_refuses_the_configuration) {
    for (auto const& more :
         {workspace_text("mill", R"("ApiKeys":["k1"])"),
          workspace_text("mill", R"("ApiKeys":["k3","k3"])"),
          workspace_text("", R"("ApiKeys":["k3"])"),
          workspace_text("bakery", R"("ApiKeys":["k3"])"),
          workspace_text("mill", R"("ApiKeys":[""])"), workspace_text("mill", R"("ApiKeys":"k3")"),
          workspace_text("mill", R"("ApiKeys":[3])"), workspace_text("mill", R"("Priority":1)"),
          workspace_text("mill", R"("ApiKeys":["k3"],"RatePerS":-1)"),
          workspace_text("mill", R"("ApiKeys":["k3"],"Burst":-0.5)"),
          workspace_text("mill", R"("ApiKeys":["k3"],"RatePerS":"9")"),
          workspace_text("mill", R"("ApiKeys":["k3"],"Priority":0.5)")}) {
        auto const decoded = decode_configuration(text_with_workspaces(more));
        CHECK_FALSE(is_ok(decoded));
        CHECK(describe(failure(decoded)).find("k3") == std::string::npos);
        CHECK(describe(failure(decoded)).find("k1") == std::string::npos);
    }
}

// Guards against a configuration that is only partially applied.
TEST(decode_configuration, one_malformed_part_rejects_the_configuration) {
    for (auto const& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"Version\":\"r7\"", "\"Version\":\"7\""},
             {"\"Prefix\":\"/y/\"", "\"Prefix\":\"/y\""},
             {"\"Kind\":\"non_idempotent\"", "\"Kind\":\"sometimes\""},
             {"\"TimeoutS\":1.2", "\"TimeoutS\":-1"},
             {"\"TimeoutS\":1.2", "\"TimeoutS\":\"1\""},
             {"\"Service\":\"s2\",\"Weight\"", "\"Service\":\"s9\",\"Weight\""},
             {"\"MaxConnections\":110", "\"MaxConnections\":null"},
             {"}}]}", "}}"}}) {
        CHECK_TEXT(!is_ok(decode_configuration(replaced(configuration_text, from, to))),
                   to.c_str());
    }
}

// Guards against a fleet that serves nothing because the routes have a kind for large responses.
TEST(decode_configuration, downloads_may_be_repeated) {
    auto const read = decode_configuration(
        replaced(configuration_text, "\"Kind\":\"non_idempotent\"", "\"Kind\":\"download\""));
    CHECK(is_ok(read));
    CHECK(value(read)->find("b.example", "/y/")->kind == request_kind::idempotent);
}

// Guards against an unknown kind that is taken for a malformed field, and against repeating
// requests of a kind that may not be repeatable.
TEST(decode_configuration, unknown_kind_is_read_as_not_repeatable) {
    auto const text =
        replaced(configuration_text, "\"Kind\":\"idempotent\"", "\"Kind\":\"sometimes\"");
    auto const rejected = decode_configuration(text);
    CHECK(!is_ok(rejected));
    CHECK(failure(rejected).code == result_code::platform_value_unknown);
    auto const read = decode_configuration(text, unknown_values::read_as_strictest);
    CHECK(is_ok(read));
    CHECK(value(read)->find("a.example", "/x/1")->kind == request_kind::non_idempotent);
    for (auto const& malformed_kind : {"\"Kind\":\"\"", "\"Kind\":7"}) {
        auto const malformed_text =
            replaced(configuration_text, "\"Kind\":\"idempotent\"", malformed_kind);
        CHECK(!is_ok(decode_configuration(malformed_text, unknown_values::read_as_strictest)));
    }
}

// Guards against malformed input that crashes the process.
TEST(decode_configuration, mutated_text_is_rejected_or_decoded) {
    std::mt19937_64 random(mutation_seed);
    for (int round = 0; round < mutations; ++round) {
        auto const read = decode_configuration(mutate(configuration_text, random));
        if (is_ok(read)) {
            CHECK(value(read) != nullptr);
        }
    }
}

TEST_GROUP(decode_heartbeat){};

// Guards against a wire field that is decoded into the wrong member.
TEST(decode_heartbeat, every_field_is_read) {
    auto const read = decode_heartbeat("i-1", heartbeat_text);
    CHECK(is_ok(read));
    auto const& target = value(read);
    STRCMP_EQUAL("i-1", target.id.c_str());
    STRCMP_EQUAL("10.0.0.9:80", target.address.c_str());
    STRCMP_EQUAL("s1", target.service.c_str());
    UNSIGNED_LONGS_EQUAL(12, target.slots);
    CHECK(target.state == target_state::ready);
    CHECK(target.started_ms == 1'700'000'000'123);
    UNSIGNED_LONGS_EQUAL(4, target.sequence);
    CHECK(target.warm_up_remaining == milliseconds(500));
}

// Guards against malformed records of other writers that are accepted as usable targets.
TEST(decode_heartbeat, unusable_records_are_refused) {
    for (auto const& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"State\":\"ready\"", "\"State\":\"sleeping\""},
             {"\"Slots\":12", "\"Slots\":0"},
             {"\"Slots\":12", "\"Slots\":\"12\""},
             {"\"Seq\":4", "\"Seq\":4.5"},
             {"\"born\":1700000000123", "\"born\":\"x\""},
             {"\"Service\":\"s1\"", "\"Service\":1"},
             {"\"Info\":{", "\"Inf\":{"}}) {
        CHECK_TEXT(!is_ok(decode_heartbeat("i-1", replaced(heartbeat_text, from, to))), to.c_str());
    }
    std::mt19937_64 random(mutation_seed);
    for (int round = 0; round < mutations; ++round) {
        auto const read = decode_heartbeat("i-1", mutate(heartbeat_text, random));
        if (is_ok(read)) {
            CHECK(value(read).slots > 0);
        }
    }
}

// Guards against a message from an earlier process of the target that is attributed to the current
// one.
TEST(decode_heartbeat, start_time_is_decoded_separately) {
    CHECK(decode_start_time(R"({"born":12})") == std::optional<std::int64_t>(12));
    CHECK_FALSE(decode_start_time("").has_value());
    CHECK_FALSE(decode_start_time(R"({"born":"12"})").has_value());
}

TEST_GROUP(rollout_records){};

// Guards against orders and statuses whose encoding differs from the operator's.
TEST(rollout_records, order_is_read_and_status_written) {
    auto const order = decode_rollout_order(R"({"Service":"s1","To":"v2","DurationS":12})");
    CHECK(is_ok(order));
    CHECK(value(order).duration == seconds(12));
    rollout state = value(order);
    state.phase = rollout_phase::rolled_back;
    STRCMP_EQUAL(R"({"Service":"s1","To":"v2","State":"rolled_back"})",
                 encode_rollout_status(state).c_str());
    CHECK_FALSE(is_ok(decode_rollout_order(R"({"Service":"s1","DurationS":12})")));
}

TEST_GROUP(base64){};

// Guards against values that lose or gain bytes in the store's encoding.
TEST(base64, every_length_is_restored) {
    std::string bytes;
    for (int length = 0; length < 100; ++length) {
        CHECK(from_base64(to_base64(bytes)) == std::optional(bytes));
        bytes.push_back(static_cast<char>(length * 37));
    }
    CHECK_FALSE(from_base64("not base64!").has_value());
}

TEST_GROUP(bounds){};

// Guards against a deployment limit that is read into the wrong member.
TEST(bounds, known_names_are_read) {
    auto const bounds = read_bounds({{"RetryBudgetRatio", 0.3}, {"GraceS", 4.5}, {"Other", 1}});
    DOUBLES_EQUAL(0.3, bounds.retry_ratio, 0);
    CHECK(bounds.stop_timeout == milliseconds(4500));
    CHECK(bounds.drain_time == milliseconds(2000));
}
