#include "routing/endpoint_subset.h"

#include "core/digest.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace peridot {

namespace {

using member_list = endpoint_directory::member_list;

struct pair_weight {
    std::uint64_t weight;
    std::uint32_t entry_node;
    std::uint32_t endpoint;
};

/// Assigns endpoints to entry nodes, in descending order of the weights of the pairs.
class subset_assignment {
public:
    subset_assignment(member_list const& all_endpoints, member_list const& all_entry_nodes,
                      std::size_t load_limit)
        : endpoints(all_endpoints)
        , entry_nodes(all_entry_nodes)
        , chosen(all_entry_nodes.size())
        , loads(all_endpoints.size(), 0)
        , max_load(load_limit) {
        this->pairs.reserve(this->endpoints.size() * this->entry_nodes.size());
        for (std::uint32_t entry = 0; entry < this->entry_nodes.size(); ++entry) {
            auto const seed = fingerprint(this->entry_nodes[entry]->instance);
            for (std::uint32_t target = 0; target < this->endpoints.size(); ++target) {
                auto const weight = fingerprint(this->endpoints[target]->instance, seed);
                this->pairs.push_back({weight, entry, target});
            }
        }
        std::sort(this->pairs.begin(), this->pairs.end(), [](auto const& left, auto const& right) {
            return left.weight != right.weight ? left.weight > right.weight
                                               : left.endpoint < right.endpoint;
        });
    }

    /// Assigns eligible pairs in order of weight until each entry node has the given number of
    /// endpoints.
    template<typename Predicate>
    void assign(std::size_t per_entry_node, Predicate is_eligible) {
        for (auto const& pair : this->pairs) {
            auto& assigned = this->chosen[pair.entry_node];
            bool const has_capacity =
                assigned.size() < per_entry_node && this->loads[pair.endpoint] < this->max_load;
            if (has_capacity && is_eligible(this->is_same_zone(pair)) &&
                std::find(assigned.begin(), assigned.end(), pair.endpoint) == assigned.end()) {
                assigned.push_back(pair.endpoint);
                ++this->loads[pair.endpoint];
            }
        }
    }

    member_list subset_of(std::size_t entry_node) const {
        member_list subset;
        for (auto const index : this->chosen[entry_node]) {
            subset.push_back(this->endpoints[index]);
        }
        return subset;
    }

private:
    bool is_same_zone(pair_weight const& pair) const {
        return this->entry_nodes[pair.entry_node]->availability_zone ==
               this->endpoints[pair.endpoint]->availability_zone;
    }

    member_list const& endpoints;
    member_list const& entry_nodes;
    std::vector<std::vector<std::uint32_t>> chosen;
    std::vector<std::size_t> loads;
    std::size_t max_load;
    std::vector<pair_weight> pairs;
};

/// Returns the number of entry nodes that one endpoint can serve.
std::size_t entry_nodes_per_endpoint(endpoint_subset_options const& options) {
    return std::max<std::size_t>(1, options.connections_per_endpoint /
                                        std::max<std::size_t>(1, options.connections_per_pair));
}

} // namespace

std::size_t subset_size(std::size_t endpoints, std::size_t entry_nodes,
                        endpoint_subset_options const& options) {
    if (endpoints == 0 || entry_nodes == 0) {
        return endpoints;
    }
    auto const affordable = endpoints * entry_nodes_per_endpoint(options) / entry_nodes;
    return std::min(endpoints, std::clamp<std::size_t>(affordable, 1, options.max_subset_size));
}

member_list choose_subset(member_list const& endpoints, member_list const& entry_nodes,
                          std::string_view local_instance, endpoint_subset_options const& options) {
    auto const local_node =
        std::find_if(entry_nodes.begin(), entry_nodes.end(),
                     [&](auto const& node) { return node->instance == local_instance; });
    auto const size = subset_size(endpoints.size(), entry_nodes.size(), options);
    if (size == endpoints.size()) {
        return endpoints;
    }
    if (local_node == entry_nodes.end()) {
        return choose_by_rendezvous(endpoints, local_instance, size);
    }
    auto const even_share = (entry_nodes.size() * size + endpoints.size() - 1) /
                            std::max<std::size_t>(1, endpoints.size());
    subset_assignment assignment(endpoints, entry_nodes,
                                 std::max(entry_nodes_per_endpoint(options), even_share));
    constexpr std::size_t remote_zone_divisor = 3;
    auto const remote = size < 2 ? 0 : std::max<std::size_t>(1, size / remote_zone_divisor);
    assignment.assign(size - remote, [](bool is_same_zone) { return is_same_zone; });
    assignment.assign(size, [](bool is_same_zone) { return !is_same_zone; });
    assignment.assign(size, [](bool) { return true; });
    return assignment.subset_of(static_cast<std::size_t>(local_node - entry_nodes.begin()));
}

} // namespace peridot
