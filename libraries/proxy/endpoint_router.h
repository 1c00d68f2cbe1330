#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "core/time.h"
#include "membership/endpoint_directory.h"
#include "routing/endpoint_selector.h"
#include "routing/retry_budget.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

struct subset_table;
struct worker_context;

/// The endpoint selectors and retry budgets of one worker. A selector takes the directory's
/// endpoints when it is first used after a change of membership.
class endpoint_router {
public:
    using member_pointer = endpoint_directory::member_pointer;

    explicit endpoint_router(worker_context const& context);

    /// The selector of a service's target version, up to date with the directory.
    endpoint_selector& selector(std::string const& service, std::string const& target_version,
                                steady_time now);

    retry_budget& budget(std::string const& service);

private:
    struct versioned_selector {
        endpoint_selector selector;
        std::shared_ptr<endpoint_directory const> directory;
        std::shared_ptr<subset_table const> subsets;
    };

    worker_context const& context;
    std::map<std::pair<std::string, std::string>, versioned_selector> selectors;
    std::map<std::string, std::unique_ptr<retry_budget>> budgets;
};

} // namespace peridot
