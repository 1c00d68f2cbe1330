#pragma once

#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// The member table is partitioned by a hash of the instance name, so that an exchange covers only
/// the buckets that differ. All bucket digests fit into one datagram together with names of maximum
/// length.
inline constexpr std::size_t digest_buckets = 192;

/// A subset of the buckets of the member table.
using bucket_set = std::bitset<digest_buckets>;

/// Returns the set of all buckets.
inline bucket_set all_buckets() {
    return bucket_set().set();
}

/// Formats the buckets for a URL, with one digit 0 or 1 per bucket.
inline std::string to_text(bucket_set const& buckets) {
    return buckets.to_string();
}

/// Parses the format of to_text(); returns nothing if the text is malformed.
inline std::optional<bucket_set> bucket_set_from_text(std::string_view text) {
    if (text.size() != digest_buckets || text.find_first_not_of("01") != std::string_view::npos) {
        return std::nullopt;
    }
    return bucket_set(std::string(text));
}

} // namespace peridot
