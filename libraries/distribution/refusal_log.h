#pragma once

#include "core/result_code.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace peridot {

/// Counts why versions, manifests, chunks and announcements were refused.
class refusal_log {
public:
    /// Counts a refusal; whether it is the first of its reason and version, which is to be logged.
    bool record(result_code reason, std::uint64_t version) {
        ++this->counts[reason];
        if (this->logged.size() >= most_remembered) {
            this->logged.erase(this->logged.begin());
        }
        return this->logged.emplace(version, reason).second;
    }

    std::map<result_code, std::uint64_t> const& totals() const { return this->counts; }

private:
    static constexpr std::size_t most_remembered = 1024;

    std::map<result_code, std::uint64_t> counts;
    /// Ordered by version, so that the oldest are forgotten first.
    std::set<std::pair<std::uint64_t, result_code>> logged;
};

} // namespace peridot
