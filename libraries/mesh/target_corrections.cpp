#include "mesh/target_corrections.h"

namespace peridot {

bool target_corrections::record(member const& recorded, target_record const& actual_target) {
    bool const is_compatible = actual_target.service == recorded.target.service &&
                               actual_target.version == recorded.target.version;
    bool const is_newer = actual_target.started_ms > recorded.target.started_ms;
    if (!is_compatible || !is_newer || actual_target.state != target_state::ready) {
        return false;
    }
    this->by_instance[recorded.instance] = {recorded.revision, actual_target};
    return true;
}

member target_corrections::apply(member const& recorded) const {
    auto const match = this->by_instance.find(recorded.instance);
    if (match == this->by_instance.end() || match->second.revision != recorded.revision) {
        return recorded;
    }
    member corrected = recorded;
    corrected.target = match->second.actual_target;
    return corrected;
}

} // namespace peridot
