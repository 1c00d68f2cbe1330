#include "run.h"

#include "fleet.h"

namespace peridot::move_decision {

run_outcome run(scenario const& test_case, method decision_method, std::uint64_t seed) {
    return fleet(test_case, decision_method, seed).run();
}

} // namespace peridot::move_decision
