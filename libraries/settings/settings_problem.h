#pragma once

#include "core/error.h"

#include <string>

namespace peridot {

/// Describes why a settings file was rejected, and the location of the problem.
struct settings_problem {
    result_code code = result_code::settings_invalid;
    std::string file;
    /// JSON pointer (RFC 6901) of the invalid value; empty if it is the document itself.
    std::string pointer;
    /// One sentence that explains the problem to the author of the file.
    std::string message;
};

/// Converts the problem to an error with the message "file: pointer: message".
error to_error(settings_problem const& problem);

} // namespace peridot
