#pragma once

#include "moves/event_sample.h"
#include "moves/rate_tolerance.h"

namespace peridot {

/// Logarithm of the e-value of one block of calls against the null hypothesis that the new
/// version's rate is within the tolerance of the old version's. Under the null hypothesis the
/// expectation of the e-value is at most 1 for every old rate and for any expected rates, provided
/// that the expected rates do not depend on the block. See docs/move-decision.md for the
/// derivation.
double log_paired_e_value(event_sample old_version, event_sample new_version, double expected_old,
                          double expected_new, rate_tolerance tolerance);

/// Logarithm of the e-value of one block of calls against the null hypothesis that the new
/// version's rate is at most the given one.
double log_single_e_value(event_sample new_version, double highest_rate, double expected_new);

} // namespace peridot
