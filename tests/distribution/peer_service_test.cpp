#include "configuration/configuration_snapshot.h"
#include "core/digest.h"
#include "core/random_source.h"
#include "distribution/distribution_counters.h"
#include "distribution/manifest_difference.h"
#include "distribution/peer_service.h"
#include "distribution/version_fetcher.h"
#include "fake_platform.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <vector>

using namespace std::chrono_literals;
using namespace peridot;
using peridot::simulation::fake_platform;

namespace {

namespace asio = boost::asio;

template<typename T>
T complete(asio::awaitable<T> work) {
    asio::io_context context;
    auto outcome = asio::co_spawn(context, std::move(work), asio::use_future);
    context.run();
    return outcome.get();
}

std::string hash_of(manifest const& content) {
    return sha256_hex(serialize(content));
}

// A peer that holds version 2, with version 1 before it.
std::shared_ptr<peer_content const> make_content() {
    auto content = std::make_shared<peer_content>();
    content->version = 2;
    content->current = std::make_shared<manifest const>(fake_platform::make_manifest(2, "b"));
    content->manifest_hash = hash_of(*content->current);
    content->chunks["abc"] = std::make_shared<std::string const>("bytes");
    content->earlier[1] = std::make_shared<manifest const>(fake_platform::make_manifest(1, "a"));
    return content;
}

asio::awaitable<std::string> no_page(bucket_set, std::string after) {
    co_return "members after " + after;
}

struct served_content {
    rcu_cell<peer_content> content{make_content()};
    distribution_counters counters;
    peer_service service{content, no_page, counters};

    http_response get(std::string const& path) {
        http_request request;
        request.target = path;
        return complete(this->service.respond(std::move(request)));
    }
};

} // namespace

TEST_GROUP(peer_service) {
    served_content served;
};

// Guards against answers that belong to another manifest or chunk than the one asked for.
TEST(peer_service, serves_only_what_is_asked_for) {
    auto const held = this->served.content.load();
    auto const hash = held->manifest_hash;
    CHECK_EQUAL(hash, sha256_hex(this->served.get("/-/manifests/" + hash).body));
    STRCMP_EQUAL("bytes", this->served.get("/-/chunks/abc").body.c_str());
    auto const change =
        parse_manifest_difference(this->served.get("/-/manifest-difference/1/" + hash).body);
    CHECK_TRUE(is_ok(change));
    CHECK_EQUAL(hash, hash_of(apply(*held->earlier.at(1), value(change))));
    std::string const buckets = to_text(all_buckets());
    STRCMP_EQUAL("members after node-7",
                 this->served.get("/-/members/" + buckets + "/node-7").body.c_str());
    for (std::string const& path :
         {std::string("/-/manifests/other"), std::string("/-/chunks/"), std::string("/-/"),
          "/-/manifest-difference/0/" + hash, std::string("/-/manifest-difference/1/other"),
          "/-/manifest-difference/x/" + hash, "/-/manifest-difference/1" + hash}) {
        CHECK_EQUAL(404U, this->served.get(path).status);
    }
    CHECK_EQUAL(400U, this->served.get("/-/members/012/node-7").status);
    CHECK_EQUAL(400U, this->served.get("/-/members/" + buckets).status);
}

// Guards against a storm of syncs that keeps a node from its calls, and against places that are
// lost when answers end.
TEST(peer_service, answers_beyond_the_bound_are_refused_as_busy) {
    std::vector<http_response> unwritten;
    for (std::size_t count = 0; count < peer_service::most_answers; ++count) {
        unwritten.push_back(this->served.get("/-/chunks/abc"));
        CHECK_EQUAL(200U, unwritten.back().status);
    }
    auto const refused = this->served.get("/-/chunks/abc");
    CHECK_EQUAL(503U, refused.status);
    CHECK_TRUE(refused.headers.value("Peridot-Code") == "3010");
    CHECK_TRUE(refused.headers.contains("Retry-After"));
    unwritten.pop_back();
    CHECK_EQUAL(200U, this->served.get("/-/chunks/abc").status);
}

// Guards against a difference that was made from another manifest of the held version, as after a
// restore of the platform: its result is refused and the whole manifest is fetched.
TEST(peer_service, a_difference_with_a_wrong_result_is_replaced_by_the_manifest) {
    fake_platform platform;
    platform.accept(2, "b");
    auto held_manifest = fake_platform::make_manifest(1, "a");
    held_manifest.services["forked"] = held_manifest.services.at("deposits");
    std::vector<std::string> asked;
    distribution_sources sources;
    sources.ask_peer = [&](socket_address, std::string path,
                           steady_time) -> asio::awaitable<peer_answer> {
        asked.push_back(path);
        auto answer = this->served.get(path);
        if (answer.status != 200) {
            co_return error{result_code::chunk_missing, path};
        }
        co_return std::move(answer.body);
    };
    sources.read_object = [&](std::string key, steady_time) {
        return platform.read_object(std::move(key));
    };
    std::vector<result_code> refusals;
    version_fetcher fetcher({}, sources, this->served.counters, random_source(5),
                            [&](error const& reason) { refusals.push_back(reason.code); });
    // The held snapshot holds no service in its scope, so it needs no chunks.
    configuration_scope const nothing{{"none"}};
    auto const held = configuration_snapshot::build(held_manifest, hash_of(held_manifest), nothing,
                                                    [](auto const&) { return std::string(); });
    CHECK_TRUE(is_ok(held));
    fetch_request request;
    request.version = 2;
    request.manifest_hash = this->served.content.load()->manifest_hash;
    request.held = value(held);
    request.peers = {{"127.0.0.1", 1}};
    auto const fetched = complete(fetcher.fetch(request, std::chrono::steady_clock::now() + 30s));
    CHECK_TRUE(is_ok(fetched));
    CHECK_EQUAL(2U, value(fetched)->version());
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals.front() == result_code::hash_mismatch);
    CHECK_TRUE(asked.at(0).starts_with("/-/manifest-difference/1/"));
    CHECK_TRUE(asked.at(1).starts_with("/-/manifests/"));
}

TEST_GROUP(manifest_difference){};

// Guards against a difference that does not lead to the manifest it was made for.
TEST(manifest_difference, leads_from_one_manifest_to_the_other) {
    manifest from = fake_platform::make_manifest(1, "a");
    from.services["old"] = "x";
    from.workspaces["gone"] = {"y", {"old"}};
    manifest to = fake_platform::make_manifest(7, "b");
    to.services["new"] = "z";
    auto const text = serialize(difference(from, to));
    auto const read = parse_manifest_difference(text);
    CHECK_TRUE(is_ok(read));
    CHECK_TRUE(apply(from, value(read)) == to);
    // On another base the result differs, and its hash shows that.
    from.services["unexpected"] = "w";
    CHECK_FALSE(serialize(apply(from, value(read))) == serialize(to));
    for (std::size_t length = 0; length < text.size(); ++length) {
        CHECK_FALSE(is_ok(parse_manifest_difference(text.substr(0, length))));
    }
}
