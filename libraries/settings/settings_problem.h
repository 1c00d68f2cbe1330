#pragma once

#include "core/error.h"

#include <string>

namespace peridot {

/// Why a settings file was refused, with the place of the fault.
struct settings_problem {
    result_code code = result_code::settings_invalid;
    std::string file;
    /// JSON pointer (RFC 6901) of the value at fault; empty for the document as a whole.
    std::string pointer;
    /// One plain sentence for the person who wrote the file.
    std::string message;
};

/// The problem as an error whose message reads "file: pointer: sentence".
error to_error(settings_problem const& problem);

} // namespace peridot
