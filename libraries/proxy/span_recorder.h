#pragma once

#include "core/random_source.h"
#include "observability/span.h"

#include <string>
#include <string_view>

namespace peridot {

struct worker_context;

/// A span of the request path that records itself when it goes out of scope, on a cancelled request
/// too.
class span_recorder {
public:
    /// Continues the trace of a traceparent header, or starts a sampled one for a small part of
    /// calls.
    span_recorder(worker_context const& context, random_source& random, std::string_view name,
                  span_kind kind, std::string_view trace_parent);
    ~span_recorder();
    span_recorder(span_recorder const&) = delete;
    span_recorder& operator=(span_recorder const&) = delete;
    span_recorder(span_recorder&&) = delete;
    span_recorder& operator=(span_recorder&&) = delete;

    /// The header for the next hop.
    std::string trace_parent() const;
    void add(std::string_view key, span_attribute_value value);
    void set_status(span_status status) { this->recorded.status = status; }

private:
    worker_context const& context;
    span recorded;
};

} // namespace peridot
