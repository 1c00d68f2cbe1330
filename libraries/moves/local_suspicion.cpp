#include "moves/local_suspicion.h"

#include <boost/circular_buffer.hpp>

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Failure rate of a broken version, against which the test is designed.
constexpr double broken_rate = 0.7;
// Failure rates up to the minimum, or up to twice the old version's rate plus the offset, are left
// to the judges, which have the evidence of the whole fleet.
constexpr double minimum_tolerated_rate = 0.1;
constexpr double tolerated_offset = 0.05;
constexpr double maximum_tolerated_rate = 0.6;
// Threshold of Page's CUSUM test: at the tolerated rate, a false suspicion occurs about once in
// exp(16), or nine million, calls.
constexpr double threshold = 16;

// The most recent calls with a running count of failures, since it is updated for every call.
struct recent_calls {
    boost::circular_buffer<bool> calls;
    std::size_t failures = 0;

    explicit recent_calls(std::size_t count) : calls(count) {}

    void add(bool failed) {
        this->failures -= this->calls.full() && this->calls.front() ? 1 : 0;
        this->calls.push_back(failed);
        this->failures += failed ? 1 : 0;
    }
};

} // namespace

struct local_suspicion::implementation {
    recent_calls calls_to_old{old_call_window};
    double cusum = 0;
    std::size_t consecutive_successes = 0;
    seconds hold = initial_hold;
    steady_time until = steady_time::min();

    double tolerated_rate() const {
        auto const calls = this->calls_to_old.calls.size();
        double const old_rate = calls == 0 ? 0
                                           : static_cast<double>(this->calls_to_old.failures) /
                                                 static_cast<double>(calls);
        return std::clamp(2 * old_rate + tolerated_offset, minimum_tolerated_rate,
                          maximum_tolerated_rate);
    }

    void add(bool failed) {
        double const tolerated = this->tolerated_rate();
        double const step = failed ? std::log(broken_rate / tolerated)
                                   : std::log((1 - broken_rate) / (1 - tolerated));
        this->cusum = std::max(0.0, this->cusum + step);
        this->consecutive_successes = failed ? 0 : this->consecutive_successes + 1;
    }
};

local_suspicion::local_suspicion() : state(std::make_unique<implementation>()) {}
local_suspicion::~local_suspicion() = default;
local_suspicion::local_suspicion(local_suspicion&&) noexcept = default;
local_suspicion& local_suspicion::operator=(local_suspicion&&) noexcept = default;

void local_suspicion::record(steady_time now, call_result const& call) {
    auto& self = *this->state;
    bool const is_judged =
        call.outcome == call_outcome::succeeded || call.outcome == call_outcome::failed;
    if (!is_judged || call.attempt == call_attempt::retry) {
        return;
    }
    bool const failed = call.outcome == call_outcome::failed;
    if (call.side == target_side::old_version) {
        self.calls_to_old.add(failed);
        return;
    }
    if (this->is_suspected(now)) {
        // Calls that were in flight when the suspicion started do not count towards another one.
        return;
    }
    if (!failed && self.cusum == 0 && self.hold == initial_hold) {
        return;
    }
    self.add(failed);
    if (self.cusum >= threshold) {
        self.until = now + self.hold;
        self.hold = std::min(self.hold * 2, maximum_hold);
        self.cusum = 0;
    } else if (self.consecutive_successes >= calls_to_reset_hold) {
        self.hold = initial_hold;
    }
}

bool local_suspicion::is_suspected(steady_time now) const {
    return now < this->state->until;
}

steady_time local_suspicion::suspected_until() const {
    return this->state->until;
}

} // namespace peridot
