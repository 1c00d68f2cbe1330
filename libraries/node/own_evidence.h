#pragma once

#include "moves/evidence_report.h"
#include "moves/report_policy.h"
#include "proxy/moved_service.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/// Makes a node's evidence reports for one move from the counters of the request path.
class own_evidence {
public:
    own_evidence(std::string move, std::string node);

    /// The report that is due now, if any.
    std::optional<evidence_report> take_report(moved_service const& service,
                                               std::uint64_t incarnation, steady_time now);

    /// Makes a report due because the share is about to change.
    void set_share_changed() { this->policy.set_share_changed(); }

    /// Makes everything due again because a judge was replaced.
    void reset() { this->policy.reset(); }

private:
    evidence_by_route count(moved_service const& service) const;
    void begin_incarnation(std::uint64_t incarnation);

    std::string move;
    std::string node;
    report_policy policy;
    std::uint64_t known_incarnation = 0;
    std::uint64_t sequence = 0;
    /// Counts that were reported under earlier incarnations; judges keep those and would otherwise
    /// count them twice.
    evidence_by_route reported_before;
    evidence_by_route sent;
};

} // namespace peridot
