#pragma once

#include "core/time.h"
#include "mesh/row_source.h"
#include "mesh/source_observation.h"
#include "mesh/store_role.h"

#include <memory>
#include <optional>
#include <string>

namespace peridot {

struct fleet_view;

/// Chooses where a node learns of changes of the rows.
///
/// If every node followed the store's feed, each change would cost as many calls as there are
/// nodes. In each availability zone one node follows it instead, the first in an order that all
/// nodes work out alike; the others ask that node. A node that does not answer or has lost the
/// store is passed over for a while, so the next in the order takes its place without any
/// agreement, and a node that finds nobody follows the feed by itself.
class row_source_selector {
public:
    row_source_selector(std::string instance, std::string availability_zone);
    ~row_source_selector();
    row_source_selector(row_source_selector const&) = delete;
    row_source_selector& operator=(row_source_selector const&) = delete;
    row_source_selector(row_source_selector&&) = delete;
    row_source_selector& operator=(row_source_selector&&) = delete;

    /// Takes the members in from which the order is made.
    void set_members(fleet_view const& view);

    /// Notes what the node found when it asked another one.
    void observe(std::string const& instance, source_observation observation, steady_time now);

    /// Another node relies on this one, which follows the feed for a while from now on.
    void observe_demand(steady_time now);

    /// A node that the store does not serve relies on the others as long as it finds one.
    row_source choose(steady_time now, bool is_store_unavailable) const;

    /// A node of another availability zone to compare revisions with. A follower whose way to the
    /// store has gone silent notices only by this that it is behind.
    std::optional<peer_source> comparison_peer(steady_time now) const;

    /// Whether other nodes of the availability zone are known.
    bool has_zone_peers() const;

    /// The first nodes of an availability zone lead.
    store_role role() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
