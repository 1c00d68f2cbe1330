#pragma once

#include "core/socket_address.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace peridot::processes {

/// A target of a sidecar in the test's own process, on a thread of its own. It announces itself,
/// counts what it runs, and answers as the platform's targets do.
class mesh_target {
public:
    mesh_target(socket_address const& address, socket_address const& heartbeats, std::string id,
                std::string service, std::string version);
    ~mesh_target();
    mesh_target(mesh_target const&) = delete;
    mesh_target& operator=(mesh_target const&) = delete;
    mesh_target(mesh_target&&) = delete;
    mesh_target& operator=(mesh_target&&) = delete;

    std::string const& id() const;

    void set_work(milliseconds time);
    /// Drops the connections of this many requests after running them.
    void lose_answers(int count);
    /// Answers every request with 500.
    void set_failing(bool is_failing);
    /// Sends no more heartbeats.
    void stop_heartbeats();
    /// Says that it leaves; whether that was acknowledged.
    bool deregister();

    /// How often the attempt ran here, and all attempts.
    std::size_t ran(std::string const& attempt) const;
    std::size_t ran() const;
    /// How often each attempt ran.
    std::map<std::string, std::size_t> runs() const;
    /// The service that the last request was said to come from.
    std::string calling_service() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
