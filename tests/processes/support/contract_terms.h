#pragma once

#include <cstdint>
#include <string>

namespace peridot::processes {

/// The credential secret of every workspace in the tests.
inline constexpr char const* test_secret = "demo-secret";

/// The parts of a contract that tests vary. The contract grants one service and has one route,
/// which matches every path and method.
struct contract_terms {
    std::string workspace = "cafe-partners";
    std::string service = "deposits";
    /// Omitted from the contract if empty.
    std::string initial_target_version = "v1";
    std::uint32_t timeout_ms = 5000;
    /// Whether requests with the same Idempotency-Key are forwarded only once.
    bool deduplicates = false;
    /// Distinguishes revisions of the same contract. It is written as the burst of the limit.
    std::uint32_t mark = 100'000;
};

/// Returns the contract as JSON text.
std::string to_json(contract_terms const& terms);

} // namespace peridot::processes
