#pragma once

#include "core/random_source.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// A version that was announced and is not held yet.
struct head_candidate {
    std::uint64_t version = 0;
    std::string manifest_hash;
    /// Instances that announced it, the first one first.
    std::vector<std::string> tellers;
    /// Whether the platform itself named it.
    bool is_from_platform = false;
    unsigned failures = 0;
    steady_time retry_at;
};

/// The versions that wait to be fetched. One that cannot be applied is tried again with backoff and
/// does not keep others from being tried, so a false announcement does no harm.
class head_candidates {
public:
    /// Takes an announcement of a version above the held one.
    void offer(std::uint64_t version, std::string_view manifest_hash, std::string_view teller);

    /// Takes the platform's head, which precedes other manifests of that version.
    void offer_from_platform(std::uint64_t version, std::string_view manifest_hash);

    /// The greatest version that is due.
    std::optional<head_candidate> next(steady_time now) const;

    /// When the next one is due; no value if there is none.
    std::optional<steady_time> next_due() const;

    void record_failure(std::uint64_t version, std::string_view manifest_hash, steady_time now,
                        random_source& random);

    /// Forgets what is not newer than the held version.
    void drop_up_to(std::uint64_t held);

private:
    head_candidate* find(std::uint64_t version, std::string_view manifest_hash);
    head_candidate* add(std::uint64_t version, std::string_view manifest_hash);

    std::vector<head_candidate> waiting;
};

} // namespace peridot
