#pragma once

#include "edits/contract_delete.h"
#include "edits/contract_put.h"
#include "edits/move_finish.h"
#include "edits/move_put.h"
#include "edits/version_revert.h"

#include <string>
#include <variant>

namespace peridot {

/// A change that creates one new configuration version.
using edit = std::variant<contract_put, contract_delete, version_revert, move_put, move_finish>;

/// Returns the key of the row on which edits of the same subject conflict, such as
/// contracts/<workspace>.
std::string subject_row_key(edit const& change);

} // namespace peridot
