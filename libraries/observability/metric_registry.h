#pragma once

#include "observability/metric_label.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace peridot {

class counter;
class gauge;
class latency_histogram;

/// A metric has at most this many series; memory of the node and of its scraper stays bounded.
inline constexpr std::size_t max_series_per_metric = 1024;

/// A series has at most this many labels.
inline constexpr std::size_t max_labels_per_series = 8;

/// The metrics of a process and their text in the Prometheus exposition format.
///
/// Names read `peridot_<thing>_<unit>`; counters end in `_total`, histograms in `_seconds`.
/// Registration takes a lock and belongs to the start or to a configuration change. The metrics
/// themselves are updated without a lock, and references stay valid as long as the registry.
/// The same name and labels give the same metric. A registration that breaks a rule (name, kind,
/// bounds) gives a metric that works but is not published, and is counted in
/// `peridot_metrics_rejected_total`.
class metric_registry {
public:
    metric_registry();
    ~metric_registry();
    metric_registry(metric_registry const&) = delete;
    metric_registry& operator=(metric_registry const&) = delete;
    metric_registry(metric_registry&&) = delete;
    metric_registry& operator=(metric_registry&&) = delete;

    counter& register_counter(std::string_view name, std::string_view help,
                              metric_labels labels = {});
    gauge& register_gauge(std::string_view name, std::string_view help, metric_labels labels = {});
    latency_histogram& register_latency(std::string_view name, std::string_view help,
                                        metric_labels labels = {});

    /// All metrics as text, in the order of their names. Safe from any thread.
    std::string exposition() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
