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

/// Selects the source from which a node receives row changes.
///
/// If every node followed the store's feed, each change would cost as many calls as there are
/// nodes. Instead, one node in each availability zone follows the feed and the others poll that
/// node. It is the first in an order that every node derives from the member records. A node that
/// does not respond or has lost the store is skipped for a while, so the next one in the order
/// takes its place without coordination. In place of a node that has lost the store, all leading
/// nodes follow the feed, since the store may have turned several of them away. A node that finds
/// no usable peer follows the feed itself.
class row_source_selector {
public:
    row_source_selector(std::string instance, std::string availability_zone);
    ~row_source_selector();
    row_source_selector(row_source_selector const&) = delete;
    row_source_selector& operator=(row_source_selector const&) = delete;
    row_source_selector(row_source_selector&&) = delete;
    row_source_selector& operator=(row_source_selector&&) = delete;

    /// Sets the members from which the order is derived.
    void set_members(fleet_view const& view);

    /// Records the result of a request to another node.
    void observe(std::string const& instance, source_observation observation, steady_time now);

    /// Records that another node depends on this one. This node follows the feed for a while from
    /// now on.
    void observe_demand(steady_time now);

    /// Returns the source to use. A node that cannot reach the store depends on its peers as long
    /// as one of them is usable.
    row_source choose(steady_time now, bool is_store_unavailable) const;

    /// Returns a node of another availability zone to compare revisions with. The comparison is the
    /// only way for a follower to detect that its feed from the store has stalled.
    std::optional<peer_source> comparison_peer(steady_time now) const;

    /// Whether the member records list other nodes of this availability zone.
    bool has_zone_peers() const;

    /// Returns the role of this node. The first nodes of an availability zone are leading.
    store_role role() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
