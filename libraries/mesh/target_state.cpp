#include "mesh/target_state.h"

namespace peridot {

int leaving_stage(target_state state) {
    switch (state) {
    case target_state::ready:
    case target_state::unreachable:
        return 0;
    case target_state::draining:
        return 1;
    case target_state::gone:
        return 2;
    }
    return 2;
}

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
