#include "routing/attempt_outcome.h"

namespace peridot {

std::string_view name(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::run:
        return "run";
    case attempt_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<attempt_outcome> parse_attempt_outcome(std::string_view text) {
    for (auto const outcome :
         {attempt_outcome::not_run, attempt_outcome::run, attempt_outcome::unknown}) {
        if (text == name(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

} // namespace peridot
