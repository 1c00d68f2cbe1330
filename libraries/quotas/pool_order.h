#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

/// A node that can hold a pool.
struct pool_candidate {
    std::string instance;
    std::string ip;
    double processor_share = 0;
};

/// Sorts the nodes in the order in which they are asked for the pool. It is the same on every node
/// that knows the same candidates: those with more processor first, then by rendezvous hashing, so
/// that pools are spread and a change of candidates moves as few of them as possible.
std::vector<pool_candidate> pool_order(std::vector<pool_candidate> candidates, std::uint32_t pool);

} // namespace peridot
