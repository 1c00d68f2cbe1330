#pragma once

#include "configuration/manifest.h"

#include <string>
#include <utility>
#include <vector>

namespace peridot {

/// What an edit makes of the current version: the next manifest, the chunks it needs, and the
/// content of the subject's row.
struct edit_plan {
    manifest next;
    /// Hash and bytes of each new chunk.
    std::vector<std::pair<std::string, std::string>> chunks;
    /// JSON text of what the subject's row records, "null" for a deleted subject.
    std::string subject_content = "null";
    /// One sentence for the history of versions.
    std::string summary;
};

} // namespace peridot
