#include "distribution/version_confirmation.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr std::size_t zones_wanted = 2;

} // namespace

void version_confirmation::record_platform(std::uint64_t version) {
    this->platform_version = version;
    this->is_platform_out = version == this->unusable_version;
}

void version_confirmation::record_unusable(std::uint64_t version) {
    this->unusable_version = version;
    this->is_platform_out = true;
}

void version_confirmation::record_peer(std::string_view availability_zone, std::uint64_t version) {
    this->answered_zones.emplace(availability_zone);
    this->newest_of_peers = std::max(this->newest_of_peers, version);
}

bool version_confirmation::is_confirmed(std::uint64_t held, peers_asked asked) const {
    if (held < this->newest_of_peers) {
        return false;
    }
    if (this->platform_version && held >= *this->platform_version) {
        return true;
    }
    if (this->reason == confirmation_reason::freeze) {
        return this->zones() > 0;
    }
    return this->is_platform_out && this->zones() > 0 &&
           (this->zones() >= zones_wanted || asked == peers_asked::all);
}

bool version_confirmation::wants_peers() const {
    return this->reason == confirmation_reason::freeze || this->is_platform_out;
}

} // namespace peridot
