#pragma once

#include "core/error.h"
#include "core/socket_address.h"
#include "core/time.h"

#include <memory>
#include <string>

namespace peridot {

struct platform_session;

/// State shared by all commands: the global options and the exit code of the process.
struct command_context {
    std::string platform;
    std::string output = "table";
    std::int64_t timeout_ms = 10'000;
    int exit_code = 0;

    bool is_json() const { return this->output == "json"; }

    /// Opens a session with the platform. Reports an error and returns nullptr if the platform's
    /// address is missing or malformed.
    std::unique_ptr<platform_session> open_session();

    /// Prints an error and sets the exit code that corresponds to its result code.
    void fail(error const& reason);
};

} // namespace peridot
