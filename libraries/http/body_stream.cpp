#include "http/body_stream.h"

#include "http/body_source.h"

#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace peridot {

class body_stream::implementation {
public:
    explicit implementation(body_source given) : source(std::move(given)) {}

    void end(body_outcome outcome) {
        for (auto const& handler : std::exchange(this->end_handlers, {})) {
            handler(outcome);
        }
    }

    body_source source;
    std::vector<std::function<void(body_outcome)>> end_handlers;
};

body_stream::body_stream(body_source source)
    : self(std::make_unique<implementation>(std::move(source))) {}

body_stream::~body_stream() {
    this->self->end(body_outcome::abandoned);
}

boost::asio::awaitable<body_part> body_stream::next() {
    auto part = co_await this->self->source.read();
    if (std::holds_alternative<body_end>(part)) {
        this->self->end(body_outcome::complete);
    } else if (std::holds_alternative<error>(part)) {
        this->self->end(body_outcome::failed);
    }
    co_return part;
}

void body_stream::cancel() {
    if (this->self->source.cancel) {
        this->self->end(body_outcome::abandoned);
        this->self->source.cancel();
    }
}

std::optional<std::uint64_t> body_stream::length() const {
    return this->self->source.remaining;
}

void body_stream::add_end_handler(std::function<void(body_outcome)> handler) {
    this->self->end_handlers.push_back(std::move(handler));
}

} // namespace peridot
