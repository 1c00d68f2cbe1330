#pragma once

#include "core/error.h"
#include "http/http_response.h"

#include <string_view>

namespace peridot {

/// The answer to a request that the proxy does not or cannot complete: the status that belongs to
/// the code, the outcome, the code, and a JSON body with the message.
http_response make_refusal(error const& reason, std::string_view outcome);

} // namespace peridot
