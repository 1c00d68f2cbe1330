#include "configuration/contract.h"

#include <algorithm>

namespace peridot {

service_grant const* find_grant(contract const& terms, std::string_view service) {
    auto const found =
        std::find_if(terms.grants.begin(), terms.grants.end(),
                     [&](service_grant const& grant) { return grant.service == service; });
    return found == terms.grants.end() ? nullptr : &*found;
}

} // namespace peridot
