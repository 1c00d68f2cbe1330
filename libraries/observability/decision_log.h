#pragma once

#include "observability/decision.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace peridot {

/// The most recent automatic decisions of a process, for `peridotctl explain`. When the log is
/// full, the oldest decision is discarded. Thread-safe; it takes a lock, so it must not be used on
/// the request path.
class decision_log {
public:
    explicit decision_log(std::size_t capacity);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    void record(decision entry);

    /// Returns the decisions about a subject, oldest first.
    std::vector<decision> find_by_subject(std::string_view subject) const;

    /// Returns the most recent decisions, at most `limit`, oldest first.
    std::vector<decision> latest(std::size_t limit) const;

    /// Returns the number of decisions discarded because the log was full.
    std::uint64_t discarded() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Converts decisions to a JSON array; times are milliseconds since the Unix epoch.
boost::json::array to_json(std::vector<decision> const& decisions);

} // namespace peridot
