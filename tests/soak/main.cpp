#include "soak/soak_run.h"

#include <CLI/CLI.hpp>
#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace peridot;
using namespace peridot::soak;

/// Randomized fault soak of peridot-sidecar: real processes, faults from outside, promises checked
/// from what callers and targets see.
int main(int argc, char** argv) {
    // The leak detector of CppUTest, which the fleet's classes bring along, is not safe with
    // threads.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    CLI::App program("Runs a fleet of sidecars through seeded faults and checks its promises.");
    soak_options options;
    std::uint64_t seeds = 1;
    std::int64_t duration = seconds(8).count();
    bool is_verbose = false;
    program.add_option("--seed", options.seed, "first seed")->capture_default_str();
    program.add_option("--seeds", seeds, "number of seeds, one after the other")
        ->capture_default_str();
    program.add_option("--seconds", duration, "time in which faults begin")->capture_default_str();
    program.add_option("--instances", options.instances, "instances of the fleet")
        ->check(CLI::Range(3, 60))
        ->capture_default_str();
    program.add_flag("--verbose", is_verbose, "print faults and logs of the nodes");
    CLI11_PARSE(program, argc, argv);
    options.duration = seconds(duration);
    std::ostream silent(nullptr);
    std::size_t failed = 0;
    for (std::uint64_t last = options.seed + seeds; options.seed < last; ++options.seed) {
        auto const result = run_soak(options, is_verbose ? std::cout : silent);
        std::cout << "seed " << options.seed << ": " << result.faults << " faults, "
                  << result.answered << " of " << result.requests << " requests answered, "
                  << result.violations.size() << " promises broken" << std::endl;
        for (auto const& line : result.violations) {
            std::cout << "  " << line << std::endl;
        }
        failed += result.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
