#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "core/time.h"
#include "edits/accepted_edit.h"
#include "edits/edit.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace peridot {

class object_client;
class table_client;

/// Accepts edits: plans and validates them against the current version, writes the objects, and
/// creates the new version in one conditional transaction.
class edit_engine {
public:
    /// The clients must outlive the engine.
    edit_engine(table_client& table, object_client& objects, random_source& random);
    ~edit_engine();
    edit_engine(edit_engine const&) = delete;
    edit_engine& operator=(edit_engine const&) = delete;
    edit_engine(edit_engine&&) = delete;
    edit_engine& operator=(edit_engine&&) = delete;

    /// Accepts an edit under a unique id. The new version is greater than both the head's version
    /// and fleet_version, the greatest version that any node is known to hold. If an answer is
    /// lost, the outcome is determined before the deadline; otherwise the error states that it is
    /// unknown.
    boost::asio::awaitable<result<accepted_edit>>
    accept(edit change, std::string edit_id, std::uint64_t fleet_version, steady_time deadline);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
