#include "core/result_code.h"

#include <CppUTest/TestHarness.h>

#include <cctype>
#include <fstream>
#include <map>
#include <string>

using peridot::result_code;

namespace {

constexpr unsigned max_number = 9999;

using code_names = std::map<unsigned, std::string>;

/// Reads numbers and names from the table rows "| 1001 | `settings_unreadable` | ...".
code_names documented_codes() {
    std::ifstream page(PERIDOT_SOURCE_DIRECTORY "/docs/result-codes.md");
    code_names codes;
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0) {
            auto const start = line.find('`') + 1;
            auto const number = static_cast<unsigned>(std::stoul(line.substr(2)));
            bool const is_new =
                codes.emplace(number, line.substr(start, line.find('`', start) - start)).second;
            CHECK_TRUE_TEXT(is_new, line.c_str());
        }
    }
    return codes;
}

code_names enumerated_codes() {
    code_names codes;
    for (unsigned number = 0; number <= max_number; ++number) {
        std::string const name(peridot::name(static_cast<result_code>(number)));
        if (name != "unlisted") {
            codes.emplace(number, name);
        }
    }
    return codes;
}

} // namespace

TEST_GROUP(result_code){};

// Guards against result codes without an entry in docs/result-codes.md, and against entries for
// codes that do not exist.
TEST(result_code, documentation_lists_exactly_the_enumerated_codes) {
    auto const documented = documented_codes();
    auto const enumerated = enumerated_codes();
    CHECK_TRUE(enumerated.size() > 1);
    for (auto const& [number, name] : enumerated) {
        auto const entry = documented.find(number);
        CHECK_TRUE_TEXT(entry != documented.end(), name.c_str());
        STRCMP_EQUAL(name.c_str(), entry->second.c_str());
    }
    UNSIGNED_LONGS_EQUAL(enumerated.size(), documented.size());
}
