#pragma once

#include "core/time.h"
#include "limits/limit_decision.h"
#include "limits/limit_demand.h"
#include "limits/limit_quota.h"
#include "limits/local_limiter_options.h"

#include <memory>
#include <optional>
#include <string_view>

namespace peridot {

/// Admits requests of one (workspace, service) at an entry node against the node's share of the
/// fleet-wide limit, and measures the demand. Workers share it without a lock; the control thread
/// applies shares and sends reports.
class local_limiter {
public:
    local_limiter(limit_key key, limit_quota const& quota, fleet_view const& fleet,
                  local_limiter_options const& options = {});
    ~local_limiter();
    local_limiter(local_limiter const&) = delete;
    local_limiter& operator=(local_limiter const&) = delete;
    local_limiter(local_limiter&&) = delete;
    local_limiter& operator=(local_limiter&&) = delete;

    /// Any thread. Admits against the share, or the fallback once the lease has ended.
    limit_decision try_admit(steady_time now);

    /// Any thread. Ends an admitted request.
    void release();

    /// Control thread. Takes a changed quota or view; both only move the fallback.
    void set_quota(limit_quota const& quota, fleet_view const& fleet, steady_time now);

    /// Control thread. Takes a share; one with an older lease of the same divider is ignored.
    void apply(limit_share const& share, std::string_view divider, steady_time now);

    /// Control thread, about every 100 ms. Measures the demand since the last call.
    void measure(steady_time now);

    /// Control thread. The report to send now, if one is due.
    std::optional<limit_demand> due_report(steady_time now) const;

    /// Control thread. Notes that the report was sent.
    void record_report(limit_demand const& sent, steady_time now);

    /// Measured demand in requests a second, refused ones included.
    double demand() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
