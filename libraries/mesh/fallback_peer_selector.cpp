#include "mesh/fallback_peer_selector.h"

#include "mesh/fleet_view.h"

#include <vector>

namespace peridot {

namespace {

constexpr std::size_t max_contacts = 256;
// Number of consecutive requests that stay within the availability zone.
constexpr unsigned same_zone_requests = 3;

} // namespace

fallback_peer_selector::fallback_peer_selector(std::string ip, std::string zone)
    : local_ip(std::move(ip)), availability_zone(std::move(zone)) {}

void fallback_peer_selector::add_contact(std::string const& ip) {
    if (ip != this->local_ip && this->contacts.size() < max_contacts) {
        this->contacts.insert(ip);
    }
}

std::optional<std::string> fallback_peer_selector::next(fleet_view const* view,
                                                        random_source& random) {
    std::vector<std::string> nodes;
    if (view != nullptr) {
        for (auto const& [service, members] : view->members) {
            for (auto const& entry : members) {
                if (entry.availability_zone == this->availability_zone &&
                    entry.target.state != target_state::gone && entry.ip != this->local_ip) {
                    nodes.push_back(entry.ip);
                }
            }
        }
    }
    if (nodes.empty() || ++this->selections % (same_zone_requests + 1) == 0) {
        nodes.assign(this->contacts.begin(), this->contacts.end());
    }
    if (nodes.empty()) {
        return std::nullopt;
    }
    return nodes[std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(random)];
}

} // namespace peridot
