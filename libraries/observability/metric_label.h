#pragma once

#include <string>
#include <tuple>
#include <vector>

namespace peridot {

/// A name/value pair that distinguishes the series of a metric.
struct metric_label {
    std::string name;
    std::string value;

    bool operator==(metric_label const&) const = default;

    bool operator<(metric_label const& other) const {
        return std::tie(this->name, this->value) < std::tie(other.name, other.value);
    }
};

/// The set of labels that identifies a series of a metric.
using metric_labels = std::vector<metric_label>;

} // namespace peridot
