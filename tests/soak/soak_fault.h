#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridot::soak {

/// The faults and changes that a soak injects from outside the system.
enum class fault_kind : std::uint8_t {
    kill_node,
    stop_node,
    freeze_node,
    reload_node,
    store_unavailable,
    store_slow,
    store_loses_answers,
    store_restored,
    store_link_delayed,
    store_link_reset,
    store_link_answers_dropped,
    peer_link_delayed,
    peer_link_reset,
    peer_link_requests_dropped,
    peer_link_answers_dropped,
    target_fails,
    target_slow,
    target_loses_answers,
    target_replaced,
    target_deregisters,
    configuration,
};

constexpr std::size_t fault_kinds = static_cast<std::size_t>(fault_kind::configuration) + 1;

std::string_view name(fault_kind kind);

/// One fault of a schedule.
struct soak_fault {
    milliseconds at{0};
    milliseconds duration{0};
    fault_kind kind = fault_kind::configuration;
    /// The affected instance, if the fault is specific to one.
    std::size_t instance = 0;
};

} // namespace peridot::soak
