#pragma once

#include "core/boot_clock.h"
#include "quotas/quota_terms.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace peridot {

/// A fleet of nodes that admit requests by the rules of quota_agent, without a network.
///
/// 87 workspaces have demand by the weights k^-1.2 and quotas of 1.6 times their usual demand; one
/// sends five times its usual. Every workspace sends through nodes of its own choice. Each datagram
/// takes 1 to 5 ms.
class quota_simulation {
public:
    quota_simulation(unsigned node_count, std::uint64_t seed);
    ~quota_simulation();
    quota_simulation(quota_simulation const&) = delete;
    quota_simulation& operator=(quota_simulation const&) = delete;
    quota_simulation(quota_simulation&&) = delete;
    quota_simulation& operator=(quota_simulation&&) = delete;

    /// Lets time pass.
    void run(milliseconds time);

    /// Moves the demand of all workspaces to other nodes.
    void move_demand();
    /// Multiplies all quotas, from now on at all nodes.
    void scale_quotas(double factor);

    /// The node that is asked first for a pool.
    std::size_t pool_node(unsigned pool) const;
    std::size_t random_node();
    void kill(std::size_t node);
    void restart(std::size_t node);
    /// A frozen node does nothing; what was sent to it waits.
    void set_frozen(std::size_t node, bool is_frozen);
    /// Messages of a node that is cut off, and to it, are lost.
    void set_cut_off(std::size_t node, bool is_cut_off);

    /// Some nodes, chosen at random, and this one lose all messages between them.
    void break_links_to(std::size_t node, double share);
    void mend_links();

    /// Forgets the figures below, but not the admitted requests.
    void reset_figures();
    /// Of the requests that one bucket for the whole fleet would have admitted, the share that the
    /// nodes refused; without the workspace that is always over its quota.
    double refused_share() const;
    /// Requests of that workspace that were admitted, relative to those that one bucket would
    /// admit.
    double hot_admitted_share() const;
    double messages_per_node_and_second() const;
    double bytes_per_node_and_second() const;

    /// Forgets the requests that were admitted under other quotas.
    void forget_admitted();
    /// Number of workspaces of which more ran in some window of 5 s than their quotas allow now,
    /// and the largest count relative to what is allowed.
    std::size_t violations() const;
    double largest_use() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
