#include "node/drain_watch.h"

namespace peridot {

void drain_watch::record(std::size_t in_flight, steady_time now) {
    if (in_flight > 0) {
        this->last_busy = now;
    }
}

bool drain_watch::is_over(steady_time now) const {
    if (now - this->started >= this->bounds.longest) {
        return true;
    }
    bool const is_known = now - this->started >= this->bounds.notice;
    bool const is_quiet = now - this->last_busy >= this->bounds.quiet;
    return is_known && is_quiet;
}

} // namespace peridot
