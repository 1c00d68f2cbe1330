#pragma once

#include "core/socket_address.h"

#include <memory>
#include <string>

namespace peridot::processes {

/// A caller that pipelines requests: it sends further requests on one connection before the first
/// is answered.
class pipelined_caller {
public:
    explicit pipelined_caller(socket_address const& address);
    ~pipelined_caller();
    pipelined_caller(pipelined_caller const&) = delete;
    pipelined_caller& operator=(pipelined_caller const&) = delete;
    pipelined_caller(pipelined_caller&&) = delete;
    pipelined_caller& operator=(pipelined_caller&&) = delete;

    void send(std::string const& bytes);
    /// Returns all bytes that arrive until the node closes the connection.
    std::string read_all();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
