#include "core/digest.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(digest){};

// Guards against object names that are not standard SHA-256 digests (FIPS 180-2, test vector
// "abc").
TEST(digest, sha256_matches_the_published_test_vector) {
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 peridot::sha256_hex("abc").c_str());
}

// Guards against accepting a prefix of the correct credential.
TEST(digest, constant_time_comparison_rejects_a_prefix) {
    CHECK_TRUE(peridot::is_equal_in_constant_time("secret", "secret"));
    CHECK_FALSE(peridot::is_equal_in_constant_time("secret", "secre"));
    CHECK_FALSE(peridot::is_equal_in_constant_time("secret", "secreT"));
}
