#include "mesh/version_intake.h"

namespace peridot {

namespace {

// Time from the decision to change a share until the gates have reported requests sent by it.
constexpr milliseconds share_change_time{400};
// Requests that the share stands for in one block. Nodes distribute their requests exactly, so few
// are enough.
constexpr double block_requests = 8;
// Below this fraction of its share, a version counts as missing it. A version whose free targets
// are slow may leave more than half of its requests to the old one.
constexpr double missing_fraction = 0.25;

} // namespace

void version_intake::start_share(double share, milliseconds now) {
    this->current_share = share;
    this->changed = now;
    this->block_start.reset();
    this->is_share_missing = false;
}

void version_intake::observe(double share, route_evidence const& sent, milliseconds now) {
    if (this->current_share != share) {
        this->start_share(share, now);
    }
    if (now < this->changed + share_change_time) {
        return;
    }
    sent_requests const total{sent_calls(sent.old_version), sent_calls(sent.new_version)};
    // The counts of a node that has restarted begin anew.
    bool const has_restarted = this->block_start && (total.to_old < this->block_start->to_old ||
                                                     total.to_new < this->block_start->to_new);
    if (!this->block_start || has_restarted) {
        this->block_start = total;
        return;
    }
    auto const to_new = static_cast<double>(total.to_new - this->block_start->to_new);
    auto const to_old = static_cast<double>(total.to_old - this->block_start->to_old);
    double const expected = share * (to_new + to_old);
    if (expected < block_requests) {
        return;
    }
    this->is_share_missing = to_new < expected * missing_fraction;
    this->block_start = total;
}

} // namespace peridot
