#pragma once

#include "core/result.h"
#include "core/time.h"
#include "edits/edit.h"
#include "edits/edit_plan.h"

#include <boost/asio/awaitable.hpp>

namespace peridot {

class object_client;
class table_client;

/// Plans an edit based on the current manifest, and checks that the nodes will accept the result.
boost::asio::awaitable<result<edit_plan>> plan_edit(edit const& change, manifest const& current,
                                                    table_client& table, object_client& objects,
                                                    steady_time deadline);

/// Reads the object that is stored under the given hash and verifies its content.
boost::asio::awaitable<result<std::string>>
read_verified(object_client& objects, std::string folder, std::string hash, steady_time deadline);

} // namespace peridot
