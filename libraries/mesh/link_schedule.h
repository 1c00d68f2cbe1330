#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "mesh/gate_decision.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

struct link_request;

/// Decides which large responses the link of the instance can deliver in time, and when each of
/// them is written.
///
/// Answers a load of large responses that exceeds the rate of the link. Without it, all of them are
/// accepted, the link's queue grows without bound, and every response is late, small ones included.
///
/// A response is large if it occupies the link for a significant time. Its request is admitted only
/// if its delivery is expected in time; the expected size is learned for each route. Large
/// responses are written one after the other, so that a small one waits at most behind the current
/// one. Small responses are written at once and only counted. Without a rate nothing is large.
///
/// Not thread-safe. The current time is passed as an argument.
class link_schedule {
public:
    explicit link_schedule(std::optional<double> megabits_per_second);
    ~link_schedule();
    link_schedule(link_schedule const&) = delete;
    link_schedule& operator=(link_schedule const&) = delete;
    link_schedule(link_schedule&&) = delete;
    link_schedule& operator=(link_schedule&&) = delete;

    /// Whether a response of the size occupies the link for a significant time.
    bool is_large(std::uint64_t bytes) const;

    /// Learns the size of responses of the route.
    void record_size(std::string const& route, std::uint64_t bytes);

    /// Expected size of the next response of the route; zero if it is not known.
    std::uint64_t expected_bytes(std::string const& route) const;

    /// Time from now until a response that is available at the given time is delivered.
    nanoseconds expected_wait(std::uint64_t bytes, boot_time available, boot_time now) const;

    /// Refuses a request if its response is not expected to be delivered in time. Never refuses if
    /// the expected response is small or the link is free.
    ///
    /// A response that could be delivered by its soft deadline over a free link is delivered by
    /// then or refused: otherwise the link's queue would grow until every response is late. One
    /// that is late in any case gets the link only while few others wait.
    std::optional<gate_refusal> find_refusal(link_request const& request, boot_time now) const;

    /// Reserves the link for the response of an admitted request.
    void start(std::uint64_t id, std::uint64_t bytes, boot_time available);

    /// Replaces the reservation by the response, which is available now. Returns whether it is to
    /// be written at once; otherwise try_write() decides.
    bool add_response(std::uint64_t id, std::uint64_t bytes, boot_time now);

    /// Whether the response is to be written now. After true, it counts as being on the link.
    bool try_write(std::uint64_t id, boot_time now);

    /// The response to be written next, if one waits.
    std::optional<std::uint64_t> next_response() const;

    /// Time at which the next response is to be written.
    boot_time next_write_time() const;

    /// Removes what is left of a request that was answered or has ended in another way. Bytes that
    /// have been written remain on the link.
    void finish(std::uint64_t id);

    /// Time that the link takes for everything that was written or waits to be written.
    nanoseconds backlog(boot_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
