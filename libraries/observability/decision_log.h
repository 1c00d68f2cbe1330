#pragma once

#include "observability/decision.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace peridot {

/// The latest automatic decisions of a process, for `peridotctl explain`. When full, the oldest
/// decision makes room. Safe from any thread; it takes a lock, so it is not for the request path.
class decision_log {
public:
    explicit decision_log(std::size_t capacity);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    void record(decision entry);

    /// The decisions about a subject, oldest first.
    std::vector<decision> find_by_subject(std::string_view subject) const;

    /// At most so many of the latest decisions, oldest first.
    std::vector<decision> latest(std::size_t limit) const;

    /// How many decisions made room for later ones.
    std::uint64_t discarded() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// The decisions as a JSON array; times are milliseconds since 1970.
boost::json::array to_json(std::vector<decision> const& decisions);

} // namespace peridot
