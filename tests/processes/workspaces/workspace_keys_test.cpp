#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <sstream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr auto bakery_key = "key-of-the-bakery-7c1f";
constexpr auto florist_key = "key-of-the-florist-93ab";
constexpr auto unknown_key = "key-of-nobody-55d0";

} // namespace

// Callers that identify themselves, or fail to, at a node whose configuration has workspaces.
TEST_GROUP(workspace_keys) {
    sidecar_fleet fleet;
    configuration_options options;
    mesh_instance* caller = nullptr;
    mesh_instance* deposits = nullptr;
    int attempts = 0;

    void setup() override {
        this->options.workspaces = {{"bakery", {bakery_key}}, {"florist", {florist_key}}};
        this->options.has_public_route = true;
        this->fleet.configure(1, this->options);
        this->caller = &this->fleet.add("plants");
        this->deposits = &this->fleet.add("deposits");
        CHECK(wait_until([&] { return this->status_with(bakery_key) == 200; }));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    http_request request_with(std::string const& key, std::string const& path = "/get/1") {
        auto request =
            sidecar_fleet::make_request(path, "attempt-" + std::to_string(++this->attempts));
        if (!key.empty()) {
            request.headers.set("Authorization", "Bearer " + key);
        }
        return request;
    }

    unsigned status_of(http_request request) const {
        http_caller connection;
        auto const answer =
            connection.call(sidecar_fleet::calls_address(*this->caller), std::move(request));
        return answer ? answer->status : 0;
    }

    unsigned status_with(std::string const& key, std::string const& path = "/get/1") {
        return this->status_of(this->request_with(key, path));
    }

    std::string workspace_at_target() const {
        return std::string(this->deposits->target->last_headers().value("X-Tenant"));
    }

    std::string authorization_at_target() const {
        return std::string(this->deposits->target->last_headers().value("Authorization"));
    }

    std::string logs() const {
        std::ostringstream text;
        this->fleet.print_logs(text);
        return text.str();
    }
};

// Guards against requests of nobody that reach a target.
TEST(workspace_keys, request_without_a_valid_key_is_refused) {
    auto const before = deposits->target->run_count();
    UNSIGNED_LONGS_EQUAL(401, status_with(""));
    UNSIGNED_LONGS_EQUAL(401, status_with(unknown_key));
    auto other_scheme = request_with("");
    other_scheme.headers.set("Authorization", std::string("Basic ") + bakery_key);
    UNSIGNED_LONGS_EQUAL(401, status_of(other_scheme));
    UNSIGNED_LONGS_EQUAL(before, deposits->target->run_count());
}

// Guards against callers that name a workspace themselves, and against keys that leave the mesh.
TEST(workspace_keys, target_gets_the_workspace_and_not_the_key) {
    auto request = request_with(bakery_key);
    request.headers.set("X-Tenant", "florist");
    request.headers.set("Peridot-Workspace", "florist;0");
    UNSIGNED_LONGS_EQUAL(200, status_of(request));
    STRCMP_EQUAL("bakery", workspace_at_target().c_str());
    STRCMP_EQUAL("", authorization_at_target().c_str());
    UNSIGNED_LONGS_EQUAL(200, status_with(florist_key));
    STRCMP_EQUAL("florist", workspace_at_target().c_str());
}

// Guards against public routes that ask for a key, or that trust what the caller says.
TEST(workspace_keys, public_route_needs_no_key) {
    auto request = request_with("", "/open/1");
    request.headers.set("X-Tenant", "bakery");
    UNSIGNED_LONGS_EQUAL(200, status_of(request));
    STRCMP_EQUAL("", workspace_at_target().c_str());
    UNSIGNED_LONGS_EQUAL(200, status_with(unknown_key, "/open/1"));
    STRCMP_EQUAL("", workspace_at_target().c_str());
    STRCMP_EQUAL("", authorization_at_target().c_str());
    UNSIGNED_LONGS_EQUAL(200, status_with(florist_key, "/open/1"));
    STRCMP_EQUAL("florist", workspace_at_target().c_str());
}

// Guards against a key that is checked once for each connection.
TEST(workspace_keys, withdrawn_key_is_refused_on_an_open_connection) {
    http_caller connection;
    auto const status = [&] {
        auto const answer =
            connection.call(sidecar_fleet::calls_address(*caller), request_with(bakery_key));
        return answer ? answer->status : 0;
    };
    UNSIGNED_LONGS_EQUAL(200, status());
    options.workspaces[0].keys = {"another-key"};
    fleet.configure(2, options);
    CHECK(wait_until([&] { return status() == 401; }));
    for (int round = 0; round < 20; ++round) {
        UNSIGNED_LONGS_EQUAL(401, status());
    }
    UNSIGNED_LONGS_EQUAL(200, status_with("another-key"));
}

// Guards against a key that keeps its old workspace after it was moved to another one.
TEST(workspace_keys, moved_key_identifies_its_new_workspace) {
    options.workspaces[0].keys.clear();
    options.workspaces[1].keys.emplace_back(bakery_key);
    fleet.configure(2, options);
    CHECK(wait_until(
        [&] { return status_with(bakery_key) == 200 && workspace_at_target() == "florist"; }));
}

// Guards against a configuration that is applied in part, or that leaves no configuration at all.
TEST(workspace_keys, invalid_workspace_refuses_the_configuration) {
    auto invalid = options;
    invalid.workspaces.push_back({"thief", {bakery_key}});
    invalid.workspaces[1].keys = {"another-key"};
    fleet.configure(2, invalid);
    CHECK(wait_until([&] { return logs().find("a key is held twice") != std::string::npos; }));
    UNSIGNED_LONGS_EQUAL(200, status_with(bakery_key));
    STRCMP_EQUAL("bakery", workspace_at_target().c_str());
    UNSIGNED_LONGS_EQUAL(200, status_with(florist_key));
    UNSIGNED_LONGS_EQUAL(401, status_with("another-key"));
    fleet.configure(3, options);
    UNSIGNED_LONGS_EQUAL(200, status_with(florist_key));
}

// Guards against keys in a log: of requests that are served, refused or retried, and of
// configurations that are taken, refused or cannot be decoded.
TEST(workspace_keys, keys_are_in_no_log) {
    status_with(bakery_key);
    status_with(unknown_key);
    status_with(unknown_key, "/open/1");
    status_with(florist_key, "/nowhere/1");
    auto invalid = options;
    invalid.workspaces.push_back({"thief", {bakery_key}});
    fleet.configure(2, invalid);
    CHECK(wait_until([&] { return logs().find("a key is held twice") != std::string::npos; }));
    fleet.store().put("op", "config", std::string("{\"Version\":\"r3\",") + florist_key);
    fleet.configure(4, options);
    deposits->target->set_failing(true);
    status_with(florist_key);
    deposits->node->end();
    status_with(florist_key);
    auto const text = logs();
    CHECK(text.find("request_unauthenticated") != std::string::npos);
    for (std::string const key : {bakery_key, florist_key, unknown_key}) {
        CHECK(text.find(key) == std::string::npos);
    }
}
