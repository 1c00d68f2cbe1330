#include "configuration/snapshot_store.h"

namespace peridot {

status snapshot_store::apply(snapshot_pointer next) {
    std::lock_guard const lock(this->writer_mutex);
    auto const current_version = this->active.load();
    if (current_version && next->version() <= current_version->version()) {
        return error{result_code::version_not_newer,
                     "version " + std::to_string(next->version()) +
                         " is not newer than the held version " +
                         std::to_string(current_version->version())};
    }
    this->active.replace(std::move(next));
    return success();
}

} // namespace peridot
