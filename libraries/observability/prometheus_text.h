#pragma once

#include "observability/metric_label.h"

#include <string>
#include <string_view>

namespace peridot {

class counter;
class gauge;
class latency_histogram;

/// Returns whether the name is lower-case snake_case and starts with "peridot_".
bool is_metric_name(std::string_view name);

/// Returns whether the name is a valid label name; "le" is reserved for histograms.
bool is_label_name(std::string_view name);

/// Formats the HELP and TYPE lines of a metric.
std::string prometheus_header(std::string_view name, std::string_view help, std::string_view type);

/// Formats the sample lines of a series.
std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               counter const& metric);
std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               gauge const& metric);
std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               latency_histogram const& metric);

} // namespace peridot
