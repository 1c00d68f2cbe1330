#pragma once

#include "configuration/manifest.h"

#include <string>
#include <utility>
#include <vector>

namespace peridot {

/// The result of planning an edit: the next manifest, the new chunks that it refers to, and the
/// content of the subject's row.
struct edit_plan {
    manifest next;
    /// Hash and bytes of each new chunk.
    std::vector<std::pair<std::string, std::string>> chunks;
    /// JSON text of the content of the subject's row; "null" for a deleted subject.
    std::string subject_content = "null";
    /// One-line summary for the version history.
    std::string summary;
};

} // namespace peridot
