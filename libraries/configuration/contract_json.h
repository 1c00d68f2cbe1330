#pragma once

#include "configuration/contract.h"
#include "core/result.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace peridot {

/// Parses a contract and validates every field and limit. The error contains the path of the
/// invalid field.
result<contract> parse_contract(std::string_view text);

/// Returns the canonical JSON text of a contract, with keys in a fixed order, so that equal
/// contracts have equal hashes.
std::string serialize(contract const& terms);

} // namespace peridot
