#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>

namespace peridot {

class admission_controller;
struct node_parts;

/// The node's HTTP interface for operators and for the target beside it; docs/OPERATIONS.md lists
/// it.
class admin_service {
public:
    /// The parts must outlive the service.
    explicit admin_service(node_parts const& parts);

    boost::asio::awaitable<http_response> respond(http_request request);

private:
    http_response report_status() const;
    http_response announce_target(std::string const& body);
    std::shared_ptr<admission_controller> make_admission(std::uint32_t slots);

    node_parts const* parts;
};

} // namespace peridot
