#pragma once

#include "http/header_list.h"

#include <boost/beast/http/fields.hpp>

namespace peridot::detail {

/// Copies the header fields of a Beast message except the connection-specific ones.
header_list from_beast(boost::beast::http::fields const& fields);

/// Copies header fields into a Beast message except the connection-specific ones.
void to_beast(header_list const& headers, boost::beast::http::fields& fields);

} // namespace peridot::detail
