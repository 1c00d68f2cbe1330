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

/// Maximum number of series per metric; it bounds the memory of the node and of its scraper.
inline constexpr std::size_t max_series_per_metric = 1024;

/// Maximum number of labels per series.
inline constexpr std::size_t max_labels_per_series = 8;

/// Registry of the metrics of a process, exported in the Prometheus text format.
///
/// Names have the form `peridot_<thing>_<unit>`; counters end in `_total`, histograms in
/// `_seconds`. Registration takes a lock and is intended for startup and configuration changes.
/// Metrics are updated without a lock, and references to them stay valid for the lifetime of the
/// registry. Registering the same name and labels again returns the same metric. A registration
/// that violates a rule (name, kind, limits) returns a usable metric that is not published, and is
/// counted in `peridot_metrics_rejected_total`.
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

    /// Returns all metrics in the Prometheus text format, ordered by name. Thread-safe.
    std::string exposition() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
