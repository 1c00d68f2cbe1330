#include "mesh/target_notices.h"

#include "mesh/target_record.h"

namespace peridot {

namespace {

// Targets that are gone never withdraw their notice, so the number of notices is limited.
constexpr std::size_t max_notices = 4096;

} // namespace

void target_notices::observe(target_record const& target, target_notice const& notice) {
    process_key const key(target.id, target.started_ms);
    if (notice == target_notice{}) {
        this->notices.erase(key);
        return;
    }
    if (this->notices.size() >= max_notices && !this->notices.contains(key)) {
        this->notices.erase(this->notices.begin());
    }
    this->notices[key] = notice;
}

target_notice target_notices::find(target_record const& target) const {
    auto const found = this->notices.find(process_key(target.id, target.started_ms));
    return found == this->notices.end() ? target_notice{} : found->second;
}

} // namespace peridot
