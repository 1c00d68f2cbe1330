#pragma once

#include "core/boot_clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace peridot {

/// Recognizes callers that come back after a refusal.
///
/// Answers callers that retry at once: their attempts are new requests with new identifiers, and
/// counted as new ones they make their workspace and route look poorly served. Each attempt states
/// how long its caller still waits, so all attempts of a caller have the same deadline, which a
/// newcomer's rarely is. A mistake costs little: a newcomer is taken for a caller that has not come
/// back.
///
/// Not thread-safe. The current time is passed as an argument.
class refused_callers {
public:
    /// Remembers a refused request until its deadline.
    void add(std::string const& workspace, std::string const& route, boot_time deadline,
             boot_time now);

    /// Whether the request comes from a caller that was refused; forgets the refusal.
    bool take(std::string const& workspace, std::string const& route, boot_time deadline);

    /// Forgets refusals whose deadline has passed.
    void forget_expired(boot_time now);

private:
    using refused_deadlines = std::multiset<boot_time>;

    void forget_before(refused_deadlines& remembered, boot_time now);

    std::map<std::pair<std::string, std::string>, refused_deadlines> deadlines;
    std::size_t count = 0;
};

} // namespace peridot
