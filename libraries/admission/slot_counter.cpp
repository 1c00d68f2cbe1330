#include "admission/slot_counter.h"

namespace peridot {

bool slot_counter::try_acquire() {
    auto state = this->load();
    // Any bit set in the upper half indicates a waiting request or a drain.
    while (state < one_waiting && in_use_of(state) < this->limit()) {
        if (this->packed_state.compare_exchange_weak(state, state + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

bool slot_counter::try_acquire_for_waiting() {
    auto state = this->load();
    while (in_use_of(state) < this->limit()) {
        if (this->packed_state.compare_exchange_weak(state, state + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

bool slot_counter::release() {
    return waiting_of(this->packed_state.fetch_sub(1, std::memory_order_acq_rel)) > 0;
}

} // namespace peridot
