#pragma once

#include "core/time.h"

#include <boost/json/object.hpp>

#include <string>

namespace peridot {

/// An automatic decision, recorded so that operators can query its reason.
struct decision {
    wall_time time;
    /// The kind of decision, such as "move_taken_back" or "endpoint_ejected".
    std::string kind;
    /// The object of the decision, such as "moves/7" or "endpoints/kasbah-ariana-1".
    std::string subject;
    /// The reason, such as "failure_share_above_old_version".
    std::string reason;
    /// The measurements on which the decision is based.
    boost::json::object figures;
};

} // namespace peridot
