#pragma once

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

/// Checks that a decoder rejects every single flipped bit, every truncation and appended bytes.
template<typename Accepts>
void check_mutations_refused(std::string const& bytes, Accepts accepts) {
    CHECK_TRUE(accepts(std::string_view(bytes)));
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        CHECK_FALSE(accepts(std::string_view(bytes).substr(0, index)));
        for (unsigned bit = 0; bit < 8; ++bit) {
            auto mutated = bytes;
            mutated[index] =
                static_cast<char>(static_cast<unsigned char>(mutated[index]) ^ (1U << bit));
            CHECK_FALSE(accepts(std::string_view(mutated)));
        }
    }
    CHECK_FALSE(accepts(std::string_view(bytes + bytes)));
    CHECK_FALSE(accepts(std::string_view(bytes + "\xff")));
}

} // namespace peridot
