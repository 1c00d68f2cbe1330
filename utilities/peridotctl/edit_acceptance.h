#pragma once

#include "edits/edit.h"

namespace peridot {

struct command_context;
struct platform_session;

/// Accepts an edit and prints the version that contains it, or reports the error.
void accept_edit(command_context& context, platform_session& session, edit const& change);

} // namespace peridot
