#pragma once

#include "mesh/fleet_view.h"

#include <memory>
#include <string_view>

namespace peridot {

class row_replica;

/// The project's own table in the store, and the rows in it.
namespace fleet_keys {
inline constexpr std::string_view table = "peridot";
inline constexpr std::string_view member_prefix = "member/";
inline constexpr std::string_view rollout_prefix = "rollout/";
} // namespace fleet_keys

/// Builds what requests are routed by from the rows that are held.
///
/// A configuration that cannot be used, or that is older than the one before, leaves the one before
/// in force. Member and roll-out rows that cannot be read are left out.
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
