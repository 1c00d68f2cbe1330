#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "http/http_response.h"
#include "mesh/gate_decision.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

struct link_request;
struct sidecar_metrics;

/// The instance's link as all responses share it that leave this node, whether for a caller or for
/// another node. Applies the decisions of link_schedule.
///
/// Without a rate, or if the rate is high for the size of the responses, nothing is refused or
/// delayed. Bound to one io_context and not thread-safe.
class response_link {
public:
    response_link(boost::asio::io_context& context, std::optional<double> megabits_per_second,
                  sidecar_metrics& metrics);
    ~response_link();
    response_link(response_link const&) = delete;
    response_link& operator=(response_link const&) = delete;
    response_link(response_link&&) = delete;
    response_link& operator=(response_link&&) = delete;

    /// Whether responses of the route are expected to occupy the link for a significant time.
    bool has_large_responses(std::string const& route) const;

    /// Refuses a request if its response is not expected to be delivered in time.
    std::optional<gate_refusal> find_refusal(link_request const& request) const;

    /// Reserves the link for the response to a request that is about to start. The reservation ends
    /// with the returned object, which is null if the response is expected to be small.
    std::shared_ptr<void const> reserve(std::string const& route, boot_time available);

    /// Releases the reservation and completes when the response is to be written.
    boost::asio::awaitable<void> await_turn(std::string const& route, http_response const& response,
                                            std::shared_ptr<void const> reservation);

    /// Time that other nodes take to answer a request of the route, from its offer; zero if it is
    /// not known.
    nanoseconds remote_answer_time(std::string const& route) const;

    /// Records that another node took this long.
    void observe_remote_answer(std::string const& route, nanoseconds elapsed);

    /// Time that the link adds to a request of the route whose response is available at the given
    /// time; zero if its responses are small.
    milliseconds expected_delay(std::string const& route, boot_time available) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
