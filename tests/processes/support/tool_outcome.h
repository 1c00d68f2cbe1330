#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace peridot::processes {

/// The result of a peridotctl run.
struct tool_outcome {
    int exit_code = -1;
    /// The output of --output json; null if it is not valid JSON.
    boost::json::value output;
    /// The text on standard error.
    std::string errors;
};

} // namespace peridot::processes
