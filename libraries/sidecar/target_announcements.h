#pragma once

#include "core/rcu_cell.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/target_record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

class fleet_sync;
struct sidecar_settings;

/// Takes the target's announcements, puts them in force at the gate and records them in the store.
///
/// An acknowledgement that the target leaves binds this node at once. It is also written to the
/// store before it is given, if the store answers in time, so that a restarted node knows it too.
class target_announcements {
public:
    /// Puts a record in force at the gate; done when the awaitable ends.
    using apply_function =
        std::function<boost::asio::awaitable<void>(std::optional<target_record>)>;

    target_announcements(boost::asio::io_context& context, sidecar_settings const& settings,
                         fleet_sync& fleet, apply_function apply);
    ~target_announcements();
    target_announcements(target_announcements const&) = delete;
    target_announcements& operator=(target_announcements const&) = delete;
    target_announcements(target_announcements&&) = delete;
    target_announcements& operator=(target_announcements&&) = delete;

    /// Answers a call of the target.
    boost::asio::awaitable<http_response> respond(http_request request);

    /// Looks at the rows that are held: an earlier process of this node may have left its record.
    void rows_changed();

    /// Whether the store holds what the target has announced. Safe from any thread.
    bool is_recorded() const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
