#include "moves/move_plan.h"

#include <algorithm>
#include <string_view>

namespace peridot {

namespace {

error malformed(std::string message) {
    return {result_code::move_malformed, std::move(message)};
}

error impossible(std::string message) {
    return {result_code::move_time_impossible, std::move(message)};
}

bool is_name(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char symbol) {
        return (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z') ||
               (symbol >= '0' && symbol <= '9') || symbol == '-' || symbol == '.' || symbol == '_';
    });
}

status validate_names(move_plan const& plan) {
    if (!is_name(plan.id) || plan.id.size() > move_plan::maximum_id_length) {
        return malformed("the move's id must be 1 to " +
                         std::to_string(move_plan::maximum_id_length) +
                         " letters, digits, '-', '.' or '_'");
    }
    if (!is_name(plan.service) || !is_name(plan.from) || !is_name(plan.to)) {
        return malformed("service, from and to must consist of letters, digits, '-', '.' or '_'");
    }
    if (plan.from == plan.to) {
        return malformed("from and to are the same version \"" + plan.to + "\"");
    }
    return success();
}

status validate_shares(move_plan const& plan) {
    if (plan.ramp.empty() || plan.ramp.size() > move_plan::maximum_steps) {
        return malformed("the ramp must have 1 to " + std::to_string(move_plan::maximum_steps) +
                         " steps");
    }
    double previous = 0;
    for (auto const& step : plan.ramp) {
        // The condition is phrased so that NaN fails as well.
        if (!(step.share > previous && step.share <= 1)) {
            return malformed("the ramp's shares must increase and be above 0 and at most 1");
        }
        previous = step.share;
    }
    if (previous != 1) {
        return malformed("the ramp's last share must be 1");
    }
    return success();
}

status validate_times(move_plan const& plan) {
    if (plan.done_by < plan.start + move_plan::minimum_duration) {
        return impossible("done_by must be at least " +
                          std::to_string(move_plan::minimum_duration.count()) +
                          " s after the start");
    }
    if (plan.done_by > plan.start + move_plan::maximum_duration) {
        return impossible("the duration of the move must not exceed 31 days");
    }
    if (plan.watch < milliseconds(0) || plan.watch > move_plan::maximum_duration) {
        return impossible("the watch time must be between 0 and 31 days");
    }
    wall_time previous = plan.start;
    for (auto const& step : plan.ramp) {
        if (step.earliest < previous) {
            return impossible("the ramp's times must not decrease or precede the start");
        }
        previous = step.earliest;
    }
    if (previous >= plan.done_by) {
        return impossible("the last step of the ramp must precede done_by");
    }
    return success();
}

} // namespace

status validate(move_plan const& plan) {
    for (auto* check : {validate_names, validate_shares, validate_times}) {
        if (auto outcome = check(plan); !is_ok(outcome)) {
            return outcome;
        }
    }
    return success();
}

status validate_new(move_plan const& plan, wall_time now) {
    if (auto outcome = validate(plan); !is_ok(outcome)) {
        return outcome;
    }
    if (plan.done_by < now + move_plan::minimum_duration) {
        return impossible("done_by is in the past or less than " +
                          std::to_string(move_plan::minimum_duration.count()) + " s ahead");
    }
    return success();
}

} // namespace peridot
