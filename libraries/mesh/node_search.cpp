#include "mesh/node_search.h"

#include "mesh/fleet_view.h"

#include <vector>

namespace peridot {

namespace {

constexpr std::size_t most_contacts = 256;
// This many questions in a row go to the own availability zone.
constexpr unsigned near_questions = 3;

} // namespace

node_search::node_search(std::string ip, std::string zone)
    : own_ip(std::move(ip)), availability_zone(std::move(zone)) {}

void node_search::add_contact(std::string const& ip) {
    if (ip != this->own_ip && this->contacts.size() < most_contacts) {
        this->contacts.insert(ip);
    }
}

std::optional<std::string> node_search::next(fleet_view const* view, random_source& random) {
    std::vector<std::string> nodes;
    if (view != nullptr) {
        for (auto const& [service, members] : view->members) {
            for (auto const& known : members) {
                if (known.availability_zone == this->availability_zone &&
                    known.target.state != target_state::gone && known.ip != this->own_ip) {
                    nodes.push_back(known.ip);
                }
            }
        }
    }
    if (nodes.empty() || ++this->searches % (near_questions + 1) == 0) {
        nodes.assign(this->contacts.begin(), this->contacts.end());
    }
    if (nodes.empty()) {
        return std::nullopt;
    }
    return nodes[std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(random)];
}

} // namespace peridot
