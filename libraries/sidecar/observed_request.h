#pragma once

#include "core/boot_clock.h"
#include "moves/call_outcome.h"

#include <cstdint>
#include <memory>

namespace peridot {

class request_observer;

/// A request at the node's own target, as evidence for a roll-out. Its time counts while it is in
/// progress. Destroying it before it is finished means that its caller has left, so no way out of
/// the code that serves a request can lose the observation. Bound to the data thread.
class observed_request {
public:
    observed_request(std::weak_ptr<request_observer> observer, std::uint64_t number);
    ~observed_request();
    observed_request(observed_request const&) = delete;
    observed_request& operator=(observed_request const&) = delete;
    observed_request(observed_request&&) = delete;
    observed_request& operator=(observed_request&&) = delete;

    /// The response has begun, which ends the time that counts. The body may still be on its way.
    void set_response_started(boot_time now);

    /// Ends the observation; further calls have no effect.
    void finish(call_outcome outcome, boot_time now);

private:
    std::weak_ptr<request_observer> observer;
    std::uint64_t number;
};

} // namespace peridot
