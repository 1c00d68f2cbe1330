#include "observability/prometheus_text.h"

#include "observability/counter.h"
#include "observability/gauge.h"
#include "observability/latency_histogram.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace peridot {

namespace {

enum class quotes : std::uint8_t { kept, escaped };

std::string escape(std::string_view text, quotes handling) {
    std::string escaped_text;
    for (char const character : text) {
        if (character == '\n') {
            escaped_text += "\\n";
            continue;
        }
        if (character == '\\' || (character == '"' && handling == quotes::escaped)) {
            escaped_text += '\\';
        }
        escaped_text += character;
    }
    return escaped_text;
}

std::string format_number(double amount) {
    std::array<char, 32> buffer{};
    auto const written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), amount);
    return {buffer.data(), written.ptr};
}

/// Formats a bin bound with six significant digits. They distinguish all bins, and the last bound
/// is formatted as 60.
std::string format_bound(double bound) {
    std::array<char, 32> buffer{};
    auto const written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), bound,
                                       std::chars_format::general, 6);
    return {buffer.data(), written.ptr};
}

std::string format_labels(metric_labels const& labels, std::string_view upper_bound = {}) {
    std::string text;
    auto const append = [&text](std::string_view name, std::string_view value) {
        text += text.empty() ? '{' : ',';
        text += name;
        text += "=\"" + escape(value, quotes::escaped) + '"';
    };
    for (auto const& label : labels) {
        append(label.name, label.value);
    }
    if (!upper_bound.empty()) {
        append("le", upper_bound);
    }
    return text.empty() ? text : text + '}';
}

std::string sample_line(std::string_view name, std::string_view labels, std::string_view amount) {
    std::string line(name);
    line += labels;
    line += ' ';
    line += amount;
    return line += '\n';
}

bool is_snake_case(std::string_view name) {
    auto const is_permitted = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), is_permitted) &&
           (name.front() < '0' || name.front() > '9');
}

} // namespace

bool is_metric_name(std::string_view name) {
    constexpr std::string_view prefix = "peridot_";
    return name.starts_with(prefix) && name.size() > prefix.size() && is_snake_case(name);
}

bool is_label_name(std::string_view name) {
    return is_snake_case(name) && !name.starts_with("__") && name != "le";
}

std::string prometheus_header(std::string_view name, std::string_view help, std::string_view type) {
    return "# HELP " + sample_line(name, "", escape(help, quotes::kept)) + "# TYPE " +
           sample_line(name, "", type);
}

std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               counter const& metric) {
    return sample_line(name, format_labels(labels), std::to_string(metric.value()));
}

std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               gauge const& metric) {
    return sample_line(name, format_labels(labels), std::to_string(metric.value()));
}

std::string prometheus_samples(std::string_view name, metric_labels const& labels,
                               latency_histogram const& metric) {
    latency_snapshot const snapshot = metric.snapshot();
    std::string const base(name);
    std::string text;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < snapshot.counts.size(); ++index) {
        cumulative += snapshot.counts[index];
        bool const is_last = index == snapshot.upper_bounds.size();
        std::string const bound = is_last ? "+Inf" : format_bound(snapshot.upper_bounds[index]);
        text +=
            sample_line(base + "_bucket", format_labels(labels, bound), std::to_string(cumulative));
    }
    double const sum = std::chrono::duration<double>(snapshot.sum).count();
    text += sample_line(base + "_sum", format_labels(labels), format_number(sum));
    return text += sample_line(base + "_count", format_labels(labels), std::to_string(cumulative));
}

} // namespace peridot
