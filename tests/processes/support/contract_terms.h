#pragma once

#include <cstdint>
#include <string>

namespace peridot::processes {

/// The secret of every workspace in the tests.
inline constexpr char const* test_secret = "demo-secret";

/// The parts of a contract that tests vary: one service, one route for every path and method.
struct contract_terms {
    std::string workspace = "cafe-partners";
    std::string service = "deposits";
    /// Left out of the contract when empty.
    std::string initial_target_version = "v1";
    std::uint32_t timeout_ms = 5000;
    /// Whether an Idempotency-Key goes on only once.
    bool deduplicates = false;
    /// Tells two contents of the same contract apart; it becomes the burst of the limit.
    std::uint32_t mark = 100'000;
};

/// The contract as a JSON text.
std::string to_json(contract_terms const& terms);

} // namespace peridot::processes
