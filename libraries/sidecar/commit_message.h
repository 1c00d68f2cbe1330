#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/replica_row.h"
#include "platform/store_commit.h"

#include <optional>
#include <vector>

namespace peridot {

/// The messages by which a node that the store does not serve has another one write its rows. The
/// revision of each row is the one that the store must hold.
http_request write_commit_request(std::vector<replica_row> const& rows);

bool is_commit_request(http_request const& request);

/// No value if the rows cannot be read.
std::optional<std::vector<replica_row>> read_commit_request(http_request const& request);

http_response write_commit_outcome(commit_outcome const& outcome);

/// An answer that cannot be read leaves open whether the rows were written.
commit_outcome read_commit_outcome(http_response const& answer);

} // namespace peridot
