#include "moves/route_evidence.h"

namespace peridot {

route_evidence pooled(evidence_by_route const& evidence) {
    route_evidence sum;
    for (auto const& [route, counts] : evidence) {
        sum.old_version += counts.old_version;
        sum.new_version += counts.new_version;
    }
    return sum;
}

} // namespace peridot
