#pragma once

#include "core/time.h"
#include "moves/event_sample.h"
#include "moves/route_evidence.h"

#include <deque>

namespace peridot {

/// Whether a new version's latest answers fail much more often than its earlier ones and those of
/// the old version.
///
/// Answers a version that turns bad just before its roll-out is complete: the evidence of a few
/// tens of answers is not yet enough to take it back, and it cannot be taken back once the old
/// targets have stopped. Times are those of the store's clock.
class latest_failures {
public:
    /// Adds the counts of both versions since the start of the roll-out.
    void observe(route_evidence const& totals, milliseconds now);

    bool is_rising() const;

private:
    struct counted {
        milliseconds at{0};
        event_sample answers;
    };

    std::deque<counted> samples;
    event_sample old_answers;
};

} // namespace peridot
