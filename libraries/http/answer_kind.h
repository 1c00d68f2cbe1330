#pragma once

#include <cstdint>

namespace peridot {

/// What the status of a received response makes of it.
enum class answer_kind : std::uint8_t {
    /// The answer to the request.
    final,
    /// Precedes the answer and is not passed on.
    interim,
    /// Not an answer: the status is outside of 100 to 599, or it is a 101 that was not asked for.
    invalid,
};

/// Classifies a status. No request of this system asks for another protocol, so a 101 is invalid.
constexpr answer_kind classify_status(unsigned status) {
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_interim = 100;
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    if (status < first_interim || status > last_final || status == switching_protocols) {
        return answer_kind::invalid;
    }
    return status < first_final ? answer_kind::interim : answer_kind::final;
}

} // namespace peridot
