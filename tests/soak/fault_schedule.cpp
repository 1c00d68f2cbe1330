#include "soak/fault_schedule.h"

#include "core/random_source.h"

#include <algorithm>
#include <array>

namespace peridot::soak {

namespace {

constexpr milliseconds first_fault{200};
constexpr milliseconds min_gap{20};
constexpr milliseconds max_gap{700};
constexpr milliseconds min_fault_duration{80};
constexpr milliseconds max_fault_duration{2500};
// Weight of a configuration change relative to each of the other faults.
constexpr int configuration_weight = 3;
// On average one in this many steps applies its fault to half of the instances at once.
constexpr int steps_per_group_fault = 12;

constexpr std::array<std::string_view, fault_kinds> names{"kill_node",
                                                          "stop_node",
                                                          "freeze_node",
                                                          "reload_node",
                                                          "store_unavailable",
                                                          "store_slow",
                                                          "store_loses_answers",
                                                          "store_restored",
                                                          "store_link_delayed",
                                                          "store_link_reset",
                                                          "store_link_answers_dropped",
                                                          "peer_link_delayed",
                                                          "peer_link_reset",
                                                          "peer_link_requests_dropped",
                                                          "peer_link_answers_dropped",
                                                          "target_fails",
                                                          "target_slow",
                                                          "target_loses_answers",
                                                          "target_replaced",
                                                          "target_deregisters",
                                                          "configuration"};

std::int64_t between(milliseconds low, milliseconds high, random_source& random) {
    return std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random);
}

fault_kind draw_kind(random_source& random) {
    auto const last = static_cast<int>(fault_kinds) - 1;
    auto const drawn =
        std::uniform_int_distribution<int>(0, last + configuration_weight - 1)(random);
    return static_cast<fault_kind>(std::min(drawn, last));
}

} // namespace

std::string_view name(fault_kind kind) {
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<soak_fault> make_schedule(std::uint64_t seed, milliseconds duration,
                                      std::size_t instances) {
    random_source random(seed);
    std::vector<soak_fault> schedule;
    for (auto at = first_fault; at < duration;) {
        soak_fault fault;
        fault.at = at;
        fault.kind = draw_kind(random);
        fault.duration = milliseconds(between(min_fault_duration, max_fault_duration, random));
        fault.instance = std::uniform_int_distribution<std::size_t>(0, instances - 1)(random);
        bool const is_group_fault =
            std::uniform_int_distribution<int>(1, steps_per_group_fault)(random) == 1;
        std::size_t const affected = is_group_fault ? (instances + 1) / 2 : 1;
        for (std::size_t offset = 0; offset < affected; ++offset) {
            schedule.push_back(fault);
            fault.instance = (fault.instance + 1) % instances;
        }
        at += milliseconds(between(min_gap, max_gap, random));
    }
    return schedule;
}

} // namespace peridot::soak
