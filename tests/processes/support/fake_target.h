#pragma once

#include "core/socket_address.h"
#include "processes/support/answer_fault.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridot::processes {

/// A target of the service deposits, version v1, that runs on a dedicated thread of the test
/// process. It registers with a node, answers like the target stand-in and injects faults into its
/// answers on the wire.
class fake_target {
public:
    /// Listens on the IP address and registers at the node's admin address.
    fake_target(std::string const& ip, socket_address const& node_admin);
    ~fake_target();
    fake_target(fake_target const&) = delete;
    fake_target& operator=(fake_target const&) = delete;
    fake_target(fake_target&&) = delete;
    fake_target& operator=(fake_target&&) = delete;

    void set_fault(answer_fault fault);
    /// Sends the answers that are held back by `answer_fault::late`.
    void release();
    /// The number of requests that arrived with this X-Test-Id.
    std::size_t arrived(std::string const& id) const;
    std::size_t arrived() const;
    /// The number of late answers whose transmission was attempted, including those whose
    /// connection was already closed.
    std::size_t released() const;
    /// The number of connections that the node closed while a request was unanswered.
    std::size_t abandoned() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
