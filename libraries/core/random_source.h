#pragma once

#include <random>

namespace peridot {

/// Pseudo-random generator. Functions that make random choices take it as an argument, so that
/// tests can fix the seed.
using random_source = std::mt19937_64;

/// Creates a generator seeded by the operating system.
random_source make_random_source();

} // namespace peridot
