#include "proxy/request_metrics.h"

#include "observability/metric_registry.h"

namespace peridot {

namespace {

constexpr std::string_view calls_name = "peridot_calls_total";
constexpr std::string_view calls_help = "Calls of this entry node by their outcome.";

} // namespace

request_metrics::request_metrics(metric_registry& registry)
    : answered(registry.register_counter(calls_name, calls_help, {{"outcome", "run"}}))
    , not_run(registry.register_counter(calls_name, calls_help, {{"outcome", "not_run"}}))
    , unknown(registry.register_counter(calls_name, calls_help, {{"outcome", "unknown"}}))
    , retries(registry.register_counter("peridot_retries_total",
                                        "Attempts after the first one of a call."))
    , limited(registry.register_counter("peridot_limit_refusals_total",
                                        "Calls refused because of the workspace's limit."))
    , refused_by_admission(registry.register_counter(
          "peridot_admission_refusals_total", "Requests that the target's admission refused."))
    , call_duration(registry.register_latency("peridot_call_duration_seconds",
                                              "Time from a call's arrival to its answer."))
    , target_duration(registry.register_latency("peridot_target_duration_seconds",
                                                "Time that the local target took to answer.")) {}

} // namespace peridot
