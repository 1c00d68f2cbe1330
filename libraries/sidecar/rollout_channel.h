#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/member.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

class connection_pool;

/// Carries the evidence and the verdicts of roll-outs between the nodes of a service.
///
/// The first member that accepts messages steers. A member that fails to accept one is skipped for
/// a while, so that another one takes its place. Not thread-safe.
class rollout_channel {
public:
    rollout_channel(connection_pool& connections, std::uint16_t control_port);
    ~rollout_channel();
    rollout_channel(rollout_channel const&) = delete;
    rollout_channel& operator=(rollout_channel const&) = delete;
    rollout_channel(rollout_channel&&) = delete;
    rollout_channel& operator=(rollout_channel&&) = delete;

    /// Returns the member that steers, or no value if none of the members can.
    std::optional<member> steering_member(std::vector<member> const& members) const;

    /// Evidence is an encoded report; a verdict is the id of a roll-out whose version is condemned.
    enum class message : std::uint8_t { evidence, verdict };
    static message message_kind(http_request const& request);

    /// Result of a message; the receiver of evidence responds whether the version is condemned.
    enum class delivery : std::uint8_t { failed, accepted, condemned };
    static http_response write_response(delivery result);

    /// Sends a message to the node that steers, which is skipped for a while if that fails.
    boost::asio::awaitable<delivery> send_to_steering(member steering, message kind,
                                                      std::string body);

    /// Skips a member for a while, since it cannot steer.
    void skip(std::string const& instance);

    /// Sends a verdict to a gate of the condemned version.
    boost::asio::awaitable<void> announce_verdict(member receiver, std::string id);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
