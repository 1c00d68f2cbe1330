#include "settings/node_settings.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <string_view>

using namespace peridot;

namespace {

constexpr int rounds = 20'000;

constexpr std::string_view original = R"({"instance": "a", "ip": "127.0.0.1",
"availability_zone": "ariana", "region": "kasbah", "platform": {"ip": "::1", "port": 1},
"seeds": [{"ip": "127.0.0.2", "port": 7403}], "ports": {"calls": 0}, "workers": 2,
"scope": ["payouts"], "drain_time_ms": 10000, "log_level": "info"})";

/// Overwrites, inserts, removes or duplicates one to four parts of the text.
std::string mutate(std::string_view text, std::mt19937_64& random) {
    constexpr std::string_view alphabet = "{}[]:,\"\\/u0019-+.eEtrufalsn \n\x01\x7f\x80\xc3\xff";
    std::string changed(text);
    for (auto changes = random() % 4 + 1; changes > 0 && !changed.empty(); --changes) {
        std::size_t const position = random() % changed.size();
        char const character = alphabet[random() % alphabet.size()];
        switch (random() % 4) {
        case 0:
            changed[position] = character;
            break;
        case 1:
            changed.insert(position, random() % 40 + 1, character);
            break;
        case 2:
            changed.erase(position, random() % 20 + 1);
            break;
        default:
            changed.insert(position, changed.substr(random() % changed.size(), random() % 30));
            break;
        }
    }
    return changed;
}

} // namespace

TEST_GROUP(settings_mutation){};

// Guards against crashes on corrupt files, and against errors without a specific result code or the
// name of the file.
TEST(settings_mutation, corrupt_files_are_rejected_with_a_result_code) {
    std::mt19937_64 random(20'231); // NOLINT: the fixed seed makes failures repeatable.
    int malformed = 0;
    int invalid = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string const text = mutate(original, random);
        auto const outcome = parse_node_settings(text, "f");
        if (is_ok(outcome)) {
            CHECK_TRUE(value(outcome).workers >= 1 && value(outcome).workers <= 16);
            continue;
        }
        bool const is_malformed = failure(outcome).code == result_code::settings_malformed;
        CHECK_TRUE(is_malformed || failure(outcome).code == result_code::settings_invalid);
        CHECK_TRUE(failure(outcome).message.starts_with("f: "));
        ++(is_malformed ? malformed : invalid);
    }
    // The mutations are only useful if they reach both parsing and validation.
    CHECK_TRUE(malformed > rounds / 20 && invalid > rounds / 20);
}
