#include "moves/take_back.h"

#include "core/digest.h"

#include <cstdio>

namespace peridot {

namespace {

std::string rate(std::uint64_t events, std::uint64_t calls) {
    double const percent =
        calls == 0 ? 0 : 100.0 * static_cast<double>(events) / static_cast<double>(calls);
    std::string text(16, '\0');
    int const length = std::snprintf(text.data(), text.size(), "%.2f %%", percent);
    text.resize(static_cast<std::size_t>(length));
    return text + " (" + std::to_string(events) + " of " + std::to_string(calls) + ")";
}

std::string comparison(take_back const& decision, std::string_view event,
                       std::string_view reference) {
    return std::string(event) + " on the new version " +
           rate(decision.new_events, decision.new_calls) + " against " +
           rate(decision.old_events, decision.old_calls) + " on the old version " +
           std::string(reference);
}

} // namespace

std::uint32_t route_fingerprint(std::string_view route) {
    // Zero is reserved for all routes together.
    return static_cast<std::uint32_t>(fingerprint(route) | 1U);
}

std::string describe(take_back const& decision) {
    switch (decision.reason) {
    case take_back_reason::failures:
        return comparison(decision, "failures", "at the same time");
    case take_back_reason::slow:
        return comparison(decision, "slow calls", "at the same time");
    case take_back_reason::failures_against_baseline:
        return comparison(decision, "failures", "before");
    case take_back_reason::slow_against_baseline:
        return comparison(decision, "slow calls", "before");
    case take_back_reason::operator_request:
        return "taken back by an operator";
    }
    return "unknown reason";
}

} // namespace peridot
