#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace peridot {

/// What distribution has done since the start. Written by the control thread and by workers.
struct distribution_counters {
    /// Reads of the platform's head.
    std::atomic<std::uint64_t> platform_reads{0};
    std::atomic<std::uint64_t> platform_failures{0};
    /// Requests to peers for bulk state, and to the object store.
    std::atomic<std::uint64_t> peer_fetches{0};
    std::atomic<std::uint64_t> peer_failures{0};
    std::atomic<std::uint64_t> object_fetches{0};
    std::atomic<std::uint64_t> peer_answers{0};
    /// Answers with 503 because too many bulk answers were on their way.
    std::atomic<std::uint64_t> busy_answers{0};
    /// HTTP bytes of control traffic. Headers count with a constant, see http_header_bytes.
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
};

/// Headers of one message as they are counted, since the HTTP libraries do not report theirs.
inline constexpr std::size_t http_header_bytes = 150;

} // namespace peridot
