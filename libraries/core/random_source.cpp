#include "core/random_source.h"

namespace peridot {

random_source make_random_source() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

} // namespace peridot
