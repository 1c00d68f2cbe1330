#include "limits/limit_quota.h"

#include "core/digest.h"

#include <algorithm>
#include <string>

namespace peridot {

limit_key limit_key_of(std::string_view workspace, std::string_view service) {
    std::string text(workspace);
    text += '\0';
    text += service;
    return fingerprint(text);
}

double visible_part(fleet_view const& fleet) {
    double const known = std::max(1U, fleet.known);
    return std::min(1.0, fleet.alive / known);
}

} // namespace peridot
