#include "observability/trace_context.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace peridot;

namespace {

constexpr int rounds = 50'000;

std::string mutated(random_source& random) {
    constexpr std::string_view alphabet = "0123456789abcdefABCF-g \n\x01\xff";
    std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    for (auto edits = random() % 3 + 1; edits > 0 && !header.empty(); --edits) {
        std::size_t const position = random() % header.size();
        char const character = alphabet[random() % alphabet.size()];
        switch (random() % 8) {
        case 0:
            header.insert(position, random() % 100 + 1, character);
            break;
        case 1:
            header.erase(position, random() % 20 + 1);
            break;
        default:
            header[position] = character;
            break;
        }
    }
    return header;
}

} // namespace

TEST_GROUP(traceparent_mutation){};

// Guards against crashes on untrusted headers, and against contexts that cannot be propagated.
TEST(traceparent_mutation, malformed_headers_are_rejected_or_parsed_consistently) {
    random_source random(4'711); // NOLINT: a fixed seed makes failures reproducible.
    int rejected = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string const header = mutated(random);
        auto const parsed = parse_traceparent(header);
        auto const used = continue_or_start_trace(header, random, 0.5);
        auto const again = parse_traceparent(format_traceparent(used));
        CHECK_TRUE(is_ok(again) && value(again) == used);
        if (is_ok(parsed)) {
            CHECK_TRUE(value(parsed) == used);
            continue;
        }
        CHECK_TRUE(failure(parsed).code == result_code::request_malformed);
        ++rejected;
    }
    CHECK_TRUE(rejected > rounds / 20 && rejected < rounds - rounds / 20);
}
