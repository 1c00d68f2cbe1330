#include "sidecar/sidecar_metrics.h"

#include "observability/metric_registry.h"

namespace peridot {

namespace {

constexpr std::string_view requests_name = "peridot_requests_total";
constexpr std::string_view requests_help =
    "Requests that began on this instance, by their outcome.";

} // namespace

sidecar_metrics::sidecar_metrics(metric_registry& registry)
    : answered_requests(
          registry.register_counter(requests_name, requests_help, {{"outcome", "answered"}}))
    , failed_requests(
          registry.register_counter(requests_name, requests_help, {{"outcome", "failed"}}))
    , refused_requests(
          registry.register_counter(requests_name, requests_help, {{"outcome", "not_run"}}))
    , unknown_outcomes(
          registry.register_counter(requests_name, requests_help, {{"outcome", "unknown"}}))
    , unrouted_requests(
          registry.register_counter(requests_name, requests_help, {{"outcome", "no_route"}}))
    , unauthenticated_requests(
          registry.register_counter(requests_name, requests_help, {{"outcome", "unauthenticated"}}))
    , quota_refusals(
          registry.register_counter(requests_name, requests_help, {{"outcome", "over_quota"}}))
    , quota_unavailable(registry.register_counter(
          "peridot_quota_unavailable_total",
          "Requests refused because no node that lends tokens of quotas answered."))
    , retried_requests(registry.register_counter("peridot_requests_sent_again_total",
                                                 "Requests that reached a further target."))
    , interrupted_responses(
          registry.register_counter("peridot_responses_interrupted_total",
                                    "Responses that ended after a part of the body was passed on."))
    , gate_refusals(registry.register_counter("peridot_gate_refusals_total",
                                              "Requests that the gate of the target refused."))
    , evacuation_refusals(registry.register_counter(
          "peridot_evacuation_refusals_total",
          "Requests refused because every zone with targets of the service is evacuated."))
    , link_refusals(registry.register_counter(
          "peridot_link_refusals_total",
          "Requests refused because the instance's link could not deliver the response in time."))
    , memory_refusals(registry.register_counter(
          "peridot_memory_refusals_total",
          "Requests refused while their body was received, at the bound on memory."))
    , quota_share_lent(registry.register_gauge(
          "peridot_quota_share_percent",
          "Share of the quotas that nodes have delegated to a pool of this node."))
    , body_bytes_held(registry.register_gauge(
          "peridot_body_bytes_held", "Bytes of bodies that the bound on memory accounts for."))
    , gate_in_use(registry.register_gauge("peridot_gate_slots_in_use",
                                          "Requests that the target is at work on."))
    , gate_waiting(registry.register_gauge("peridot_gate_waiting_requests",
                                           "Requests that wait for a slot of the target."))
    , gate_version_blocked(registry.register_gauge(
          "peridot_gate_version_blocked",
          "Whether the gate refuses every request because the target's version is condemned."))
    , gate_zone_evacuated(registry.register_gauge(
          "peridot_gate_zone_evacuated",
          "Whether the gate refuses every request because its availability zone is evacuated."))
    , gate_target_cold(registry.register_gauge(
          "peridot_gate_target_cold",
          "Whether the gate limits the rate of requests because the target is cold."))
    , link_backlog(registry.register_gauge(
          "peridot_link_backlog_milliseconds",
          "Time that the instance's link takes for the responses that it has to transmit."))
    , gate_target_pace(registry.register_gauge(
          "peridot_gate_target_pace_percent",
          "Pace of work that the target stated last, in percent of the usual one; 0 if none."))
    , target_awaited(registry.register_gauge(
          "peridot_target_awaited",
          "Whether a recorded target has not announced itself since the node's start."))
    , unfit_to_steer(registry.register_gauge(
          "peridot_rollout_unfit_to_steer",
          "Whether this node should steer a roll-out but does not know the store's clock."))
    , configuration_version(registry.register_gauge("peridot_configuration_version",
                                                    "Version of the configuration in force."))
    , configuration_refusals(
          registry.register_gauge("peridot_configuration_refusals",
                                  "Configurations refused since the start of the process."))
    , configuration_unknown_values(registry.register_gauge(
          "peridot_configuration_unknown_values",
          "Whether the configuration in force has values that this program does not know."))
    , request_duration(registry.register_latency("peridot_request_duration_seconds",
                                                 "Time from a request's arrival to its answer."))
    , target_duration(registry.register_latency("peridot_target_duration_seconds",
                                                "Time that the target took to answer.")) {}

} // namespace peridot
