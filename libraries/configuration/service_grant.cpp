#include "configuration/service_grant.h"

#include <algorithm>

namespace peridot {

namespace {

/// Whether the path begins with the prefix at a segment boundary: "/balance" matches "/balance/7"
/// but not "/balances".
bool has_prefix(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

bool allows(route const& candidate, std::string_view method) {
    return candidate.methods.empty() ||
           std::find(candidate.methods.begin(), candidate.methods.end(), method) !=
               candidate.methods.end();
}

} // namespace

route const* find_route(service_grant const& grant, std::string_view method,
                        std::string_view path) {
    route const* best = nullptr;
    for (auto const& candidate : grant.routes) {
        bool const is_longer =
            best == nullptr || candidate.path_prefix.size() > best->path_prefix.size();
        if (is_longer && has_prefix(path, candidate.path_prefix) && allows(candidate, method)) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace peridot
