#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/replica_row.h"
#include "platform/store_commit.h"

#include <optional>
#include <vector>

namespace peridot {

/// Encodes the messages by which a node that is not served by the store has another node write its
/// rows. Each row carries the revision that the store is expected to hold.
http_request write_commit_request(std::vector<replica_row> const& rows);

bool is_commit_request(http_request const& request);

/// Returns no value if the rows are malformed.
std::optional<std::vector<replica_row>> read_commit_request(http_request const& request);

http_response write_commit_outcome(commit_outcome const& outcome);

/// A malformed response is reported as an error that leaves open whether the rows were written.
commit_outcome read_commit_outcome(http_response const& answer);

} // namespace peridot
