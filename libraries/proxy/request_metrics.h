#pragma once

namespace peridot {

class counter;
class latency_histogram;
class metric_registry;

/// The metrics of the request path, registered once and shared by the workers.
struct request_metrics {
    explicit request_metrics(metric_registry& registry);

    counter& answered;
    counter& not_run;
    counter& unknown;
    counter& retries;
    counter& limited;
    counter& refused_by_admission;
    latency_histogram& call_duration;
    latency_histogram& target_duration;
};

} // namespace peridot
