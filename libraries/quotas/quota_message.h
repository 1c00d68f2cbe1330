#pragma once

#include "core/result.h"
#include "core/time.h"
#include "quotas/quota_terms.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Number of workspaces in one message, so that a datagram stays below 1,100 bytes.
inline constexpr std::size_t max_quota_entries = 40;

/// Tokens of one workspace: wanted in a request, lent in an answer.
struct quota_entry {
    quota_key workspace = 0;
    std::uint32_t tokens = 0;
    milliseconds retry_after{0};
};

/// One datagram between a node and a pool.
struct quota_message {
    /// The node that wants tokens, in both directions.
    std::string instance;
    /// An answer repeats the number of its request.
    std::uint64_t sequence = 0;
    std::uint32_t pool = 0;
    /// In a request: the time for which the node delegates its share, from the receipt on; zero if
    /// it does not.
    milliseconds delegated{0};
    bool is_answer = false;
    std::vector<quota_entry> entries;
};

std::string encode_quota_message(quota_message const& message);

/// Returns datagram_malformed for bytes that are no message or contain values out of range.
result<quota_message> decode_quota_message(std::string_view bytes);

} // namespace peridot
