#pragma once

#include "core/result_code.h"

#include <string>

namespace peridot {

/// A failure returned as a value: a numbered code and a message of one sentence.
struct error {
    result_code code = result_code::ok;
    std::string message;
};

/// Formats an error for logs and terminals: "PD2006 contract_shifts_traffic: message".
std::string describe(error const& failure);

} // namespace peridot
