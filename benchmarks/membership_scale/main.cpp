// Measures the cost of membership per node by fleet size, with an in-memory network and a simulated
// clock. The counts are the same in every run; processor times vary.

#include "membership/simulated_fleet.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iostream>

using namespace std::chrono_literals;
using namespace peridot;
using peridot::simulation::make_record;
using peridot::simulation::simulated_fleet;

namespace {

constexpr std::uint64_t seed = 1;
constexpr seconds warm_up = 15s;
constexpr seconds steady_time_span = 60s;
constexpr seconds replacement_time_span = 60s;
constexpr std::size_t replacements = 2;
constexpr double replacements_per_second = 160.0 / 86'400.0;
/// Size of the IPv4 and UDP headers.
constexpr double header_bytes = 28;

struct traffic {
    double datagrams = 0;
    double bytes = 0;
};

traffic total_sent(simulated_fleet& fleet) {
    traffic sum;
    for (std::size_t member = 0; member < fleet.size(); ++member) {
        auto const& counters = fleet.at(member).counters();
        sum.datagrams += static_cast<double>(counters.datagrams_sent);
        sum.bytes += static_cast<double>(counters.bytes_sent);
    }
    return sum;
}

traffic difference(traffic const& later, traffic const& earlier, double divisor) {
    return {(later.datagrams - earlier.datagrams) / divisor,
            (later.bytes - earlier.bytes) / divisor};
}

double with_headers(traffic const& measured) {
    return measured.bytes + measured.datagrams * header_bytes;
}

double rounded(double number) {
    return std::round(number * 10) / 10;
}

// Drains and stops one member, and adds one with a new name that joins through a seed.
void replace_member(simulated_fleet& fleet, std::size_t member) {
    fleet.at(member).set_state(member_state::draining, fleet.now());
    fleet.flush(member);
    fleet.run(5s);
    fleet.at(member).set_state(member_state::left, fleet.now());
    fleet.flush(member);
    fleet.run(500ms);
    fleet.kill(member);
    auto const added = fleet.add(make_record(fleet.size()));
    auto const seed_record = make_record(0);
    fleet.at(added).add_seed({seed_record.ip, seed_record.gossip_port});
    fleet.run(replacement_time_span - 5500ms);
}

milliseconds time_to_spread(simulated_fleet& fleet) {
    std::string const name = fleet.at(1).own().instance;
    fleet.at(1).set_state(member_state::draining, fleet.now());
    fleet.flush(1);
    auto const has_spread = [&] {
        for (std::size_t member = 0; member < fleet.size(); ++member) {
            auto const held = fleet.at(member).record_of(name);
            if (fleet.at(member).own().state != member_state::left &&
                (!held || held->state != member_state::draining)) {
                return false;
            }
        }
        return true;
    };
    return fleet.run_until(has_spread, 60s).value_or(-1ms);
}

boost::json::object measure(std::size_t members) {
    auto const nodes = static_cast<double>(members);
    double const span = std::chrono::duration<double>(steady_time_span).count();
    simulated_fleet fleet(seed);
    fleet.add_synchronized_members(members);
    fleet.run(warm_up);
    fleet.measure_processing();
    auto const started = total_sent(fleet);
    fleet.run(steady_time_span);
    auto const settled = total_sent(fleet);
    auto const processing = fleet.processing_time();
    auto const steady = difference(settled, started, nodes * span);
    for (std::size_t count = 0; count < replacements; ++count) {
        replace_member(fleet, 3 + count);
    }
    double const churn_span = std::chrono::duration<double>(replacement_time_span).count();
    auto const churned = difference(total_sent(fleet), settled, nodes);
    double const per_replacement = with_headers(churned) / static_cast<double>(replacements) -
                                   with_headers(steady) * churn_span;
    double const processor_microseconds =
        std::chrono::duration<double, std::micro>(processing).count() / nodes / span;
    return {
        {"members", members},
        {"datagrams_per_second", rounded(steady.datagrams)},
        {"payload_bytes_per_second", rounded(steady.bytes)},
        {"bytes_per_second_with_headers", rounded(with_headers(steady))},
        {"extra_bytes_per_replacement", rounded(per_replacement)},
        {"bytes_per_second_with_160_replacements_a_day",
         rounded(with_headers(steady) + std::max(per_replacement, 0.0) * replacements_per_second)},
        {"largest_datagram", fleet.largest_datagram()},
        {"false_deaths", fleet.false_deaths()},
        {"draining_known_to_all_ms", time_to_spread(fleet).count()},
        {"processor_microseconds_per_tick", rounded(processor_microseconds / 10)},
        {"processor_share_percent", processor_microseconds / 10'000}};
}

} // namespace

// The arguments are fleet sizes; the defaults are those of docs/design.md.
int main(int argc, char** argv) {
    std::vector<std::size_t> sizes{8, 24, 64, 128, 860};
    if (argc > 1) {
        sizes.clear();
        for (int index = 1; index < argc; ++index) {
            sizes.push_back(std::strtoul(argv[index], nullptr, 10));
        }
    }
    boost::json::array results;
    for (std::size_t const members : sizes) {
        results.push_back(measure(members));
    }
    std::cout << boost::json::object{{"seed", seed}, {"sent_by_each_node", results}} << '\n';
    return 0;
}
