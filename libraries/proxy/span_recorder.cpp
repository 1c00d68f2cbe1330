#include "proxy/span_recorder.h"

#include "observability/span_buffer.h"
#include "proxy/worker_context.h"

namespace peridot {

namespace {

// Part of the calls without a traceparent that start a recorded trace.
constexpr double sampling_probability = 0.01;

} // namespace

span_recorder::span_recorder(worker_context const& worker, random_source& random,
                             std::string_view name, span_kind kind, std::string_view trace_parent)
    : context(worker) {
    auto const parent = parse_traceparent(trace_parent);
    if (is_ok(parent)) {
        this->recorded.parent = value(parent).span;
        this->recorded.context = child_of(value(parent), random);
    } else {
        this->recorded.context = start_trace(random, sampling_probability);
    }
    this->recorded.name = name;
    this->recorded.kind = kind;
    this->recorded.start = std::chrono::system_clock::now();
}

span_recorder::~span_recorder() {
    if (this->recorded.context.sampled) {
        this->recorded.end = std::chrono::system_clock::now();
        this->context.spans.record(this->context.worker, std::move(this->recorded));
    }
}

std::string span_recorder::trace_parent() const {
    return format_traceparent(this->recorded.context);
}

void span_recorder::add(std::string_view key, span_attribute_value attribute) {
    if (this->recorded.context.sampled) {
        this->recorded.attributes.emplace_back(std::string(key), std::move(attribute));
    }
}

} // namespace peridot
