#pragma once

#include "load/load_report.h"
#include "load_options.h"

namespace peridot {

/// Runs an open-loop load test on the calling thread and returns its report. Each request carries a
/// unique id in X-Test-Id, which a target stand-in echoes in the response body.
load_report run_load(load_options const& options);

} // namespace peridot
