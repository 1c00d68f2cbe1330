#include "processes/support/contract_terms.h"

#include "core/digest.h"

#include <boost/json.hpp>

namespace peridot::processes {

std::string to_json(contract_terms const& terms) {
    // Far above the load of any test, so that the limit never takes effect.
    constexpr double unlimited = 1e6;
    boost::json::object grant{
        {"service", terms.service},
        {"routes",
         {{{"path_prefix", "/"},
           {"timeout_ms", terms.timeout_ms},
           {"deduplicates", terms.deduplicates}}}},
        {"limit",
         {{"requests_per_second", unlimited}, {"burst", terms.mark}, {"concurrency", 10'000}}}};
    if (!terms.initial_target_version.empty()) {
        grant["initial_target_version"] = terms.initial_target_version;
    }
    boost::json::object const contract{{"workspace", terms.workspace},
                                       {"credential_sha256", sha256_hex(test_secret)},
                                       {"grants", boost::json::array{std::move(grant)}}};
    return boost::json::serialize(contract);
}

} // namespace peridot::processes
