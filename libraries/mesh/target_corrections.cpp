#include "mesh/target_corrections.h"

namespace peridot {

bool target_corrections::learn(member const& recorded, target_record const& found) {
    bool const is_same_kind =
        found.service == recorded.target.service && found.version == recorded.target.version;
    bool const is_newer = found.started_ms > recorded.target.started_ms;
    if (!is_same_kind || !is_newer || found.state != target_state::ready) {
        return false;
    }
    this->by_instance[recorded.instance] = {recorded.revision, found};
    return true;
}

member target_corrections::apply(member const& recorded) const {
    auto const known = this->by_instance.find(recorded.instance);
    if (known == this->by_instance.end() || known->second.revision != recorded.revision) {
        return recorded;
    }
    member corrected = recorded;
    corrected.target = known->second.found;
    return corrected;
}

} // namespace peridot
