#include "soak/soak_run.h"

#include <CLI/CLI.hpp>
#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace peridot;
using namespace peridot::soak;

/// Randomized fault soak of peridot-sidecar. Runs real processes, injects faults from outside and
/// checks the documented guarantees against the observations of callers and targets.
int main(int argc, char** argv) {
    // The fleet's classes link CppUTest, whose leak detector is not thread-safe.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    CLI::App program("Injects seeded faults into a fleet of sidecars and checks its guarantees.");
    soak_options options;
    std::uint64_t seeds = 1;
    std::int64_t duration = seconds(8).count();
    bool is_verbose = false;
    program.add_option("--seed", options.seed, "first seed")->capture_default_str();
    program.add_option("--seeds", seeds, "number of consecutive seeds to run")
        ->capture_default_str();
    program.add_option("--seconds", duration, "period in which faults start, in seconds")
        ->capture_default_str();
    program.add_option("--instances", options.instances, "number of instances in the fleet")
        ->check(CLI::Range(3, 60))
        ->capture_default_str();
    program.add_flag("--verbose", is_verbose,
                     "print the faults and, after a violation, the logs of the nodes");
    program.add_flag("--logs", options.writes_all_logs,
                     "with --verbose, print the logs of the nodes without a violation too");
    CLI11_PARSE(program, argc, argv);
    options.duration = seconds(duration);
    std::ostream silent(nullptr);
    std::size_t failed = 0;
    for (std::uint64_t last = options.seed + seeds; options.seed < last; ++options.seed) {
        auto const result = run_soak(options, is_verbose ? std::cout : silent);
        std::cout << "seed " << options.seed << ": " << result.faults << " faults, "
                  << result.answered << " of " << result.requests << " requests answered, "
                  << result.violations.size() << " violations" << std::endl;
        for (auto const& line : result.violations) {
            std::cout << "  " << line << std::endl;
        }
        failed += result.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
