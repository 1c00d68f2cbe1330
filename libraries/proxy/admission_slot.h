#pragma once

#include "admission/admission_request.h"
#include "core/result.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace peridot {

class admission_controller;

/// A slot of the target that is given back when the request ends, however it ends.
class admission_slot {
public:
    admission_slot() = default;
    ~admission_slot();
    admission_slot(admission_slot const&) = delete;
    admission_slot& operator=(admission_slot const&) = delete;
    admission_slot(admission_slot&&) = delete;
    admission_slot& operator=(admission_slot&&) = delete;

    /// Takes a slot, waiting in the queue if none is free. A caller that leaves cancels the wait.
    boost::asio::awaitable<status> take(std::shared_ptr<admission_controller> controller,
                                        admission_request request);

private:
    std::shared_ptr<admission_controller> held_from;
    admission_permit permit;
};

} // namespace peridot
