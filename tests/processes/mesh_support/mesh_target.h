#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "http/header_list.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot::processes {

/// A target of a sidecar, on a thread of the test process. It announces itself, counts the requests
/// that it runs, and responds like the platform's targets.
class mesh_target {
public:
    /// The heartbeats state that the target stays cold for the given time.
    mesh_target(socket_address const& address, socket_address const& heartbeats, std::string id,
                std::string service, std::string version, seconds cold = seconds(0));
    ~mesh_target();
    mesh_target(mesh_target const&) = delete;
    mesh_target& operator=(mesh_target const&) = delete;
    mesh_target(mesh_target&&) = delete;
    mesh_target& operator=(mesh_target&&) = delete;

    std::string const& id() const;

    void set_work_time(milliseconds time);
    /// Closes the connections of this many requests after running them, without a response.
    void lose_answers(int count);
    /// Answers every request with 500.
    void set_failing(bool is_failing);
    /// Answers every request with this status and without a body; zero is sent as 000.
    void set_status(unsigned status);
    /// States in every response how many requests per second the target accepts; zero or more.
    void set_rate_limit(double requests_per_second);
    /// States in every response that the target drains.
    void set_leaving(bool is_leaving);
    /// Answers with a body of this many parts of 64 KiB, and pauses before each; zero for the usual
    /// body.
    void set_large_bodies(std::size_t parts, milliseconds pause = milliseconds(0));
    /// Closes the connection after this many parts of a large body.
    void cut_bodies_after(std::size_t parts);
    /// States in every heartbeat for how long the target stays cold.
    void set_cold(seconds remaining);
    /// Stops sending heartbeats.
    void stop_heartbeats();
    /// Sends one heartbeat with the given state and sequence number beside the regular ones, for a
    /// process that started by the given time after this one. Returns whether it was acknowledged.
    bool announce(std::string const& state, std::uint64_t sequence,
                  milliseconds started_later = milliseconds(0));
    /// Deregisters the target; returns whether the call was acknowledged.
    bool deregister();

    /// Returns how often the attempt ran on this target, and the total over all attempts.
    std::size_t run_count(std::string const& attempt) const;
    std::size_t run_count() const;
    /// Returns how often each attempt ran.
    std::map<std::string, std::size_t> run_counts() const;
    /// Returns when each request arrived, in this order.
    std::vector<std::chrono::steady_clock::time_point> arrivals() const;
    /// Returns the headers of the last request.
    header_list last_headers() const;
    /// Returns the calling service that the last request named.
    std::string calling_service() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
