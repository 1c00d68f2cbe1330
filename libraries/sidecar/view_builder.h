#pragma once

#include "mesh/fleet_view.h"

#include <memory>
#include <optional>
#include <string_view>

namespace peridot {

class row_replica;

/// The project's own table in the store and the keys of its rows.
namespace fleet_keys {
inline constexpr std::string_view table = "peridot";
inline constexpr std::string_view member_prefix = "member/";
inline constexpr std::string_view rollout_prefix = "rollout/";
} // namespace fleet_keys

/// Returns the progress of a service's roll-out as the nodes have recorded it in the store; no
/// value if there is none or it cannot be read.
std::optional<rollout> recorded_rollout(row_replica const& rows, std::string_view service);

/// Builds the view that requests are routed by from the rows of the replica.
///
/// A configuration that is malformed or older than the current one is rejected, and the current one
/// stays in force. So does the current one if a new one has a value that this program does not
/// know; only a node that holds no configuration which it knows in full takes the new one, and
/// reads such values in the strictest way. Malformed member and roll-out rows are skipped. What the
/// store has lost of members and roll-outs stays in the view (member_history, rollout_history).
class view_builder {
public:
    view_builder();
    ~view_builder();
    view_builder(view_builder const&) = delete;
    view_builder& operator=(view_builder const&) = delete;
    view_builder(view_builder&&) = delete;
    view_builder& operator=(view_builder&&) = delete;

    std::shared_ptr<fleet_view const> build(row_replica const& rows);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
