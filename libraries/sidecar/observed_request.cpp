#include "sidecar/observed_request.h"

#include "sidecar/request_observer.h"

#include <utility>

namespace peridot {

observed_request::observed_request(std::weak_ptr<request_observer> observer, std::uint64_t number)
    : observer(std::move(observer)), number(number) {}

observed_request::~observed_request() {
    this->finish(call_outcome::abandoned, boot_clock::now());
}

void observed_request::set_response_started(boot_time now) {
    if (auto const held = this->observer.lock()) {
        held->set_response_started(this->number, now);
    }
}

void observed_request::finish(call_outcome outcome, boot_time now) {
    if (auto const held = this->observer.lock()) {
        held->finish(this->number, outcome, now);
    }
}

} // namespace peridot
