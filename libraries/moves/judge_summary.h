#pragma once

#include "moves/route_evidence.h"

namespace peridot {

/// A judge's assessment of a move, for operators.
struct judge_summary {
    /// Evidence against the new version, which is taken back when this reaches the threshold.
    double e_value = 1;
    double threshold = 0;
    bool is_warming_up = true;
    /// Whether the evidence prevents the next step without being sufficient for a take-back.
    bool is_holding = false;
    /// Whether the old version has too few calls for a comparison, so that the new one is compared
    /// with the old version's earlier rates.
    bool is_against_baseline = false;
    /// Whether the old version fails much more often at present than usual.
    bool is_old_version_failing = false;
    /// Whether the current step has sent enough calls, also if their outcome is not known yet.
    bool has_sent_step_calls = false;
    /// Whether the current step has lasted long enough and sent enough calls whose outcome is
    /// known.
    bool is_step_judged = false;
    route_evidence evidence;
};

} // namespace peridot
