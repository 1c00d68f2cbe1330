#pragma once

namespace peridot {

class counter;
class gauge;
class latency_histogram;
class metric_registry;

/// Metrics of a sidecar's request path. Each is registered once.
struct sidecar_metrics {
    explicit sidecar_metrics(metric_registry& registry);

    counter& answered_requests;
    counter& failed_requests;
    counter& refused_requests;
    counter& unknown_outcomes;
    counter& unrouted_requests;
    counter& unauthenticated_requests;
    counter& quota_refusals;
    counter& quota_unavailable;
    counter& retried_requests;
    counter& interrupted_responses;
    counter& gate_refusals;
    counter& evacuation_refusals;
    counter& link_refusals;
    counter& memory_refusals;
    gauge& quota_share_lent;
    gauge& body_bytes_held;
    gauge& gate_in_use;
    gauge& gate_waiting;
    gauge& gate_version_blocked;
    gauge& gate_zone_evacuated;
    gauge& gate_target_cold;
    gauge& link_backlog;
    gauge& gate_target_pace;
    gauge& target_awaited;
    gauge& unfit_to_steer;
    gauge& configuration_version;
    gauge& configuration_refusals;
    gauge& configuration_unknown_values;
    latency_histogram& request_duration;
    latency_histogram& target_duration;
};

} // namespace peridot
