#include "mesh/store_backoff.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr milliseconds initial_leading_pause{100};
constexpr milliseconds longest_leading_pause{1000};
constexpr milliseconds initial_relying_pause{2000};
constexpr milliseconds longest_relying_pause{4000};

} // namespace

milliseconds store_backoff::next(store_role role, random_source& random) {
    bool const is_leading = role == store_role::leading;
    this->length =
        std::clamp(this->length * 2, is_leading ? initial_leading_pause : initial_relying_pause,
                   is_leading ? longest_leading_pause : longest_relying_pause);
    return milliseconds(std::uniform_int_distribution<std::int64_t>(this->length.count() / 2,
                                                                    this->length.count())(random));
}

} // namespace peridot
