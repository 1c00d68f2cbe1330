#include "scenario.h"

#include <CLI/CLI.hpp>

#include <array>
#include <cstdio>
#include <map>
#include <string_view>
#include <utility>

using namespace peridot;
using namespace peridot::placement;

namespace {

// Goals of section 3.7 of docs/hard-load.md, against least expected time as before and against the
// common queue.
constexpr double needless_goal = 0.2;
constexpr double p99_goal = 1.3;

constexpr std::array<std::pair<strategy, std::string_view>, 8> strategies{
    {{strategy::least_time, "least time"},
     {strategy::even_load, "even load"},
     {strategy::two_choices, "two choices"},
     {strategy::reused_reports, "reused reports"},
     {strategy::idle_queue, "idle queue"},
     {strategy::subset, "subset"},
     {strategy::own_share, "own share"},
     {strategy::common_queue, "common queue"}}};

struct column {
    std::string_view title;
    double run_result::*value;
    int decimals;
};

constexpr std::array<column, 14> columns{{{"requests", &run_result::requests, 0},
                                          {"spread", &run_result::spread, 3},
                                          {"p50_ms", &run_result::p50_ms, 0},
                                          {"p99_ms", &run_result::p99_ms, 0},
                                          {"p999_ms", &run_result::p999_ms, 0},
                                          {"needless", &run_result::needless_refusals, 2},
                                          {"in_zone", &run_result::needless_refusals_in_zone, 2},
                                          {"offers", &run_result::offers, 3},
                                          {"remote", &run_result::remote_part, 3},
                                          {"late", &run_result::late_part, 4},
                                          {"failed", &run_result::failed_part, 4},
                                          {"age_p10", &run_result::report_age_p10_ms, 0},
                                          {"age_p50", &run_result::report_age_p50_ms, 0},
                                          {"age_p90", &run_result::report_age_p90_ms, 0}}};

run_result run_averaged(scenario settings, std::uint64_t runs) {
    run_result mean;
    for (std::uint64_t each = 0; each < runs; ++each) {
        auto const one = run(settings);
        for (auto const& entry : columns) {
            mean.*entry.value += one.*entry.value / static_cast<double>(runs);
        }
        ++settings.seed;
    }
    return mean;
}

void print_row(std::size_t nodes, std::string_view name, run_result const& result) {
    std::printf("%5zu %-14s", nodes, name.data());
    for (auto const& entry : columns) {
        std::printf(" %8.*f", entry.decimals, result.*entry.value);
    }
    std::printf("\n");
}

bool has_goal(strategy kind) {
    return kind == strategy::least_time || kind == strategy::even_load ||
           kind == strategy::common_queue;
}

/// Prints the goals with what was measured; returns whether all are met.
bool check(std::map<strategy, run_result> const& results) {
    auto const& before = results.at(strategy::least_time);
    auto const& now = results.at(strategy::even_load);
    auto const& ideal = results.at(strategy::common_queue);
    double const needless = now.needless_refusals / before.needless_refusals;
    double const p99 = now.p99_ms / ideal.p99_ms;
    std::printf("needless refusals %.3f of before (goal %.1f); p99 %.2f of the common queue "
                "(goal %.1f); offers %.3f, before %.3f (goal: not more)\n",
                needless, needless_goal, p99, p99_goal, now.offers, before.offers);
    return needless < needless_goal && p99 <= p99_goal && now.offers <= before.offers;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App options{"Compares how nodes choose targets by old reports, without a network"};
    std::uint64_t seed = 1;
    std::uint64_t runs = 8;
    std::size_t only_nodes = 0;
    double load = 0.8;
    bool has_equal_speeds = false;
    bool is_check = false;
    options.add_option("--seed", seed, "Seed of the first run");
    options.add_option("--runs", runs, "Runs of each strategy, with consecutive seeds");
    options.add_option("--load", load, "Offered load as a fraction of the capacity");
    options.add_option("--nodes", only_nodes, "Only the deployment of 61 or of 89 nodes");
    options.add_flag("--equal-speeds", has_equal_speeds, "All targets have the usual speed");
    options.add_flag("--check", is_check,
                     "Run only what the goals compare, and fail if one is missed");
    CLI11_PARSE(options, argc, argv);

    scenario const scarce;
    scenario uneven;
    uneven.nodes = 61;
    uneven.targets = 23;
    uneven.zones = 4;
    uneven.slots = 12;
    std::printf("%5s %-14s", "nodes", "strategy");
    for (auto const& entry : columns) {
        std::printf(" %8s", entry.title.data());
    }
    std::printf("\n");
    bool is_met = true;
    for (auto settings : {scarce, uneven}) {
        if (only_nodes != 0 && only_nodes != settings.nodes) {
            continue;
        }
        settings.load = load;
        if (has_equal_speeds) {
            settings.speeds = {1};
        }
        settings.seed = seed;
        std::map<strategy, run_result> results;
        for (auto const& [kind, name] : strategies) {
            if (is_check && !has_goal(kind)) {
                continue;
            }
            settings.placement = kind;
            results[kind] = run_averaged(settings, runs);
            print_row(settings.nodes, name, results[kind]);
        }
        is_met = check(results) && is_met;
    }
    return is_check && !is_met ? 1 : 0;
}
