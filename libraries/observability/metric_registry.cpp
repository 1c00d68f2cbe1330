#include "observability/metric_registry.h"

#include "observability/counter.h"
#include "observability/gauge.h"
#include "observability/latency_histogram.h"
#include "observability/prometheus_text.h"

#include <algorithm>
#include <list>
#include <map>
#include <mutex>
#include <variant>

namespace peridot {

namespace {

constexpr std::string_view rejections_name = "peridot_metrics_rejected_total";

using metric = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                            std::unique_ptr<latency_histogram>>;

struct metric_family {
    std::string help;
    std::string_view type;
    std::map<metric_labels, metric> series;
};

std::string_view type_name(counter const& /*kind*/) {
    return "counter";
}

std::string_view type_name(gauge const& /*kind*/) {
    return "gauge";
}

std::string_view type_name(latency_histogram const& /*kind*/) {
    return "histogram";
}

bool has_valid_suffix(std::string_view name, std::string_view type) {
    if (type == "histogram") {
        return name.ends_with("_seconds");
    }
    return name.ends_with("_total") == (type == "counter");
}

/// Sorts the labels, so that their order is irrelevant, and returns whether they are valid.
bool normalize_and_validate(metric_labels& labels) {
    std::sort(labels.begin(), labels.end());
    auto const same_name = [](metric_label const& left, metric_label const& right) {
        return left.name == right.name;
    };
    auto const has_valid_name = [](metric_label const& label) { return is_label_name(label.name); };
    return labels.size() <= max_labels_per_series &&
           std::all_of(labels.begin(), labels.end(), has_valid_name) &&
           std::adjacent_find(labels.begin(), labels.end(), same_name) == labels.end();
}

std::string format_family(std::string const& name, metric_family const& family) {
    std::string text = prometheus_header(name, family.help, family.type);
    for (auto const& entry : family.series) {
        auto const append = [&name, &entry, &text](auto const& pointer) {
            text += prometheus_samples(name, entry.first, *pointer);
        };
        std::visit(append, entry.second);
    }
    return text;
}

} // namespace

class metric_registry::implementation {
public:
    implementation() {
        this->rejected = &this->find_or_register<counter>(
            rejections_name, "Registrations of metrics that broke a rule.", {});
    }

    template<typename Metric>
    Metric& find_or_register(std::string_view name, std::string_view help, metric_labels labels) {
        auto created = std::make_unique<Metric>();
        std::string_view const type = type_name(*created);
        std::lock_guard const guard(this->mutex);
        if (!normalize_and_validate(labels) || !is_metric_name(name) ||
            !has_valid_suffix(name, type)) {
            return this->reject(std::move(created));
        }
        auto& family =
            this->families
                .try_emplace(std::string(name), metric_family{std::string(help), type, {}})
                .first->second;
        if (family.type != type) {
            return this->reject(std::move(created));
        }
        auto const existing = family.series.find(labels);
        if (existing != family.series.end()) {
            return **std::get_if<std::unique_ptr<Metric>>(&existing->second);
        }
        if (family.series.size() >= max_series_per_metric) {
            return this->reject(std::move(created));
        }
        auto& added = family.series.emplace(std::move(labels), std::move(created)).first->second;
        return **std::get_if<std::unique_ptr<Metric>>(&added);
    }

    std::string exposition() const {
        std::lock_guard const guard(this->mutex);
        std::string text;
        for (auto const& [name, family] : this->families) {
            text += format_family(name, family);
        }
        return text;
    }

private:
    /// Returns an unpublished metric. Rejected registrations of a kind share one metric, so that
    /// their number does not increase memory usage.
    template<typename Metric>
    Metric& reject(std::unique_ptr<Metric> created) {
        this->rejected->add();
        for (auto const& item : this->unpublished) {
            if (auto const* pointer = std::get_if<std::unique_ptr<Metric>>(&item)) {
                return **pointer;
            }
        }
        return **std::get_if<std::unique_ptr<Metric>>(
            &this->unpublished.emplace_back(std::move(created)));
    }

    std::mutex mutable mutex;
    std::map<std::string, metric_family> families;
    std::list<metric> unpublished;
    counter* rejected = nullptr;
};

metric_registry::metric_registry() : self(std::make_unique<implementation>()) {}

metric_registry::~metric_registry() = default;

counter& metric_registry::register_counter(std::string_view name, std::string_view help,
                                           metric_labels labels) {
    return this->self->find_or_register<counter>(name, help, std::move(labels));
}

gauge& metric_registry::register_gauge(std::string_view name, std::string_view help,
                                       metric_labels labels) {
    return this->self->find_or_register<gauge>(name, help, std::move(labels));
}

latency_histogram& metric_registry::register_latency(std::string_view name, std::string_view help,
                                                     metric_labels labels) {
    return this->self->find_or_register<latency_histogram>(name, help, std::move(labels));
}

std::string metric_registry::exposition() const {
    return this->self->exposition();
}

} // namespace peridot
