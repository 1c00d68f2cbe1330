#pragma once

#include "core/random_source.h"
#include "distribution/distribution_sources.h"
#include "distribution/peer_service.h"
#include "membership/swim_output.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>

namespace peridot {

class membership_agent;

/// Fetches the member pages in which a peer differs, over HTTP, on the control thread. Registers
/// itself with the agent.
class member_exchange {
public:
    /// What is passed must outlive the exchange.
    member_exchange(boost::asio::io_context& context, membership_agent& members,
                    distribution_sources const& sources);

private:
    boost::asio::awaitable<void> run(exchange_request request);

    boost::asio::io_context* context;
    membership_agent* members;
    distribution_sources const* sources;
    random_source random = make_random_source();
    std::size_t running = 0;
};

/// Gives pages of the member list to workers; the page is made on the control thread.
peer_service::page_source make_page_source(boost::asio::io_context& control,
                                           membership_agent const& members);

} // namespace peridot
