#include "mesh/mesh_configuration.h"
#include "mesh/mesh_route.h"
#include "mesh/row_replica.h"
#include "platform/decoders.h"
#include "sidecar/view_builder.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace peridot;

TEST_GROUP(view_builder) {
    row_replica rows;
    view_builder builder;
    std::uint64_t revision = 0;

    // Stores a configuration with one known route and one whose kind is given.
    void configure(std::uint64_t version, std::string const& kind) {
        std::string const text =
            R"({"Version":"r)" + std::to_string(version) +
            R"(","Resources":[{"TypeUrl":"Services","Metadata":{"Name":"s"},"Spec":{"MaxConnections":9}},)"
            R"({"TypeUrl":"Routes","Metadata":{"Name":"known"},"Spec":{"Host":"a","Prefix":"/x/",)"
            R"("Kind":"idempotent","TimeoutS":1,"Service":"s"}},)"
            R"({"TypeUrl":"Routes","Metadata":{"Name":"given"},"Spec":{"Host":"a","Prefix":"/y/",)"
            R"("Kind":")" +
            kind + R"(","TimeoutS":1,"Service":"s"}}]})";
        ++this->revision;
        this->rows.apply({std::string(store_keys::operator_table),
                          std::string(store_keys::configuration), text, this->revision, false});
    }

    std::uint64_t version_in_force() {
        auto const view = this->builder.build(this->rows);
        return view->configuration ? view->configuration->version() : 0;
    }
};

// Guards against a configuration that is taken although one of its values is not understood, and
// against taking only its other parts.
TEST(view_builder, configuration_with_an_unknown_value_leaves_the_older_one_in_force) {
    configure(1, "idempotent");
    UNSIGNED_LONGS_EQUAL(1, version_in_force());
    configure(2, "sometimes");
    UNSIGNED_LONGS_EQUAL(1, version_in_force());
    UNSIGNED_LONGS_EQUAL(1, builder.build(rows)->refused_configurations);
    CHECK_FALSE(builder.build(rows)->has_unknown_values);
    configure(3, "non_idempotent");
    UNSIGNED_LONGS_EQUAL(3, version_in_force());
}

// Guards against a fleet that serves nothing at its first start because one route has a value that
// this program does not know.
TEST(view_builder, first_configuration_is_taken_despite_an_unknown_value) {
    configure(1, "sometimes");
    auto const view = builder.build(rows);
    CHECK(view->configuration != nullptr);
    CHECK(view->has_unknown_values);
    CHECK(view->configuration->find("a", "/x/1")->kind == request_kind::idempotent);
    CHECK(view->configuration->find("a", "/y/1")->kind == request_kind::non_idempotent);
    // Later versions have the same value and must come into force too.
    configure(2, "sometimes");
    UNSIGNED_LONGS_EQUAL(2, version_in_force());
    configure(3, "idempotent");
    UNSIGNED_LONGS_EQUAL(3, version_in_force());
    CHECK_FALSE(builder.build(rows)->has_unknown_values);
    configure(4, "sometimes");
    UNSIGNED_LONGS_EQUAL(3, version_in_force());
}

// Guards against a malformed configuration that is taken because the node holds none.
TEST(view_builder, malformed_first_configuration_is_refused) {
    configure(1, "");
    UNSIGNED_LONGS_EQUAL(0, version_in_force());
    UNSIGNED_LONGS_EQUAL(1, builder.build(rows)->refused_configurations);
}
