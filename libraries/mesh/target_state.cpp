#include "mesh/target_state.h"

namespace peridot {

std::string_view name(target_state state) {
    switch (state) {
    case target_state::ready:
        return "ready";
    case target_state::unreachable:
        return "unreachable";
    case target_state::draining:
        return "draining";
    case target_state::gone:
        return "gone";
    }
    return "gone";
}

} // namespace peridot
