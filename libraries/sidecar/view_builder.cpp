#include "sidecar/view_builder.h"

#include "core/log.h"
#include "mesh/evacuation_history.h"
#include "mesh/member_history.h"
#include "mesh/mesh_configuration.h"
#include "mesh/rollout_history.h"
#include "mesh/row_replica.h"
#include "platform/decoders.h"
#include "sidecar/member_json.h"
#include "sidecar/rollout_json.h"

#include <algorithm>
#include <utility>

namespace peridot {

class view_builder::implementation {
public:
    // Each revision of the row is decoded only once.
    void read_configuration(row_replica const& rows) {
        auto const* row = rows.find(store_keys::operator_table, store_keys::configuration);
        if (row == nullptr || row->revision == this->configuration_revision) {
            return;
        }
        this->configuration_revision = row->revision;
        auto handling = unknown_values::rejected;
        auto decoded = decode_configuration(row->value, handling);
        if (!is_ok(decoded) && this->accepts_unknown_values(failure(decoded))) {
            log::write(log::level::warning, "configuration_value_unknown",
                       {{"revision", static_cast<std::int64_t>(row->revision.number)},
                        {"reason", describe(failure(decoded))}});
            handling = unknown_values::read_as_strictest;
            decoded = decode_configuration(row->value, handling);
        }
        if (!is_ok(decoded)) {
            ++this->refused_configurations;
            log::write(log::level::error, "configuration_refused",
                       {{"revision", static_cast<std::int64_t>(row->revision.number)},
                        {"reason", describe(failure(decoded))}});
            return;
        }
        auto const current_version = this->configuration ? this->configuration->version() : 0;
        if (this->configuration && value(decoded)->version() <= current_version) {
            log::write(log::level::warning, "configuration_not_newer",
                       {{"version", static_cast<std::int64_t>(value(decoded)->version())},
                        {"held", static_cast<std::int64_t>(current_version)}});
            return;
        }
        this->configuration = value(decoded);
        this->has_unknown_values = handling == unknown_values::read_as_strictest;
        log::write(log::level::info, "configuration_in_force",
                   {{"version", static_cast<std::int64_t>(this->configuration->version())},
                    {"revision", static_cast<std::int64_t>(row->revision.number)},
                    {"routes", static_cast<std::int64_t>(this->configuration->route_count())}});
    }

    // A value that this program does not know is more likely to be a mistake than a new kind of
    // value, so a configuration that is known in full stays in force. Without one, a rejection
    // would leave the node with no routes at all.
    bool accepts_unknown_values(error const& reason) const {
        return reason.code == result_code::platform_value_unknown &&
               (!this->configuration || this->has_unknown_values);
    }

    std::vector<member> read_members(row_replica const& rows) {
        std::vector<member> stored;
        for (auto const* row : rows.rows(fleet_keys::table, fleet_keys::member_prefix)) {
            auto decoded = decode_member(row->value);
            if (!is_ok(decoded)) {
                log::write(log::level::warning, "member_row_unreadable", {{"key", row->key}});
                continue;
            }
            value(decoded).revision = row->revision;
            stored.push_back(std::move(value(decoded)));
        }
        return newest_by_address(this->members.update(stored, rows.era(fleet_keys::table)));
    }

    std::map<std::string, rollout, std::less<>> read_rollouts(row_replica const& rows) {
        std::vector<rollout_history::stored_rollout> stored;
        for (auto const* row : rows.rows(store_keys::operator_table, store_keys::rollout_prefix)) {
            auto ordered = decode_rollout_order(row->value);
            if (!is_ok(ordered)) {
                log::write(log::level::warning, "rollout_order_unreadable", {{"key", row->key}});
                continue;
            }
            value(ordered).order = row->revision;
            value(ordered).ordered_at = row->revision;
            auto recorded = recorded_rollout(rows, value(ordered).service);
            stored.push_back({std::move(value(ordered)), std::move(recorded)});
        }
        return this->rollouts.update(stored, rows.era(store_keys::operator_table));
    }

    std::set<std::string, std::less<>> read_evacuations(row_replica const& rows) {
        std::set<std::string> stored;
        for (auto const* row :
             rows.rows(store_keys::operator_table, store_keys::evacuation_prefix)) {
            stored.insert(row->key.substr(store_keys::evacuation_prefix.size()));
        }
        auto in_force = this->evacuations.update(stored, rows.era(store_keys::operator_table));
        if (in_force != this->evacuated_zones) {
            this->log_evacuations(in_force);
            this->evacuated_zones = in_force;
        }
        return in_force;
    }

    void log_evacuations(std::set<std::string, std::less<>> const& in_force) const {
        for (auto const& zone : in_force) {
            if (!this->evacuated_zones.contains(zone)) {
                log::write(log::level::warning, "zone_evacuated", {{"zone", zone}});
            }
        }
        for (auto const& zone : this->evacuated_zones) {
            if (!in_force.contains(zone)) {
                log::write(log::level::info, "zone_evacuation_ended", {{"zone", zone}});
            }
        }
    }

    std::shared_ptr<mesh_configuration const> configuration;
    store_revision configuration_revision;
    bool has_unknown_values = false;
    std::uint64_t refused_configurations = 0;
    member_history members;
    rollout_history rollouts;
    evacuation_history evacuations;
    std::set<std::string, std::less<>> evacuated_zones;
};

std::optional<rollout> recorded_rollout(row_replica const& rows, std::string_view service) {
    auto const* row = rows.find(fleet_keys::table,
                                std::string(fleet_keys::rollout_prefix) + std::string(service));
    auto recorded = row == nullptr
                        ? result<rollout>(error{result_code::platform_record_malformed, {}})
                        : decode_rollout(row->value);
    return is_ok(recorded) ? std::optional(std::move(value(recorded))) : std::nullopt;
}

view_builder::view_builder() : self(std::make_unique<implementation>()) {}

view_builder::~view_builder() = default;

std::shared_ptr<fleet_view const> view_builder::build(row_replica const& rows) {
    this->self->read_configuration(rows);
    auto view = std::make_shared<fleet_view>();
    view->configuration = this->self->configuration;
    view->has_unknown_values = this->self->has_unknown_values;
    view->refused_configurations = this->self->refused_configurations;
    for (auto& record : this->self->read_members(rows)) {
        view->members[record.target.service].push_back(std::move(record));
    }
    for (auto& [service, members] : view->members) {
        std::ranges::sort(members, {}, &member::instance);
    }
    view->rollouts = this->self->read_rollouts(rows);
    view->evacuated_zones = this->self->read_evacuations(rows);
    return view;
}

} // namespace peridot
