#include "sidecar/change_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unordered_set>

namespace peridot {

namespace asio = boost::asio;

class change_signal::implementation {
public:
    explicit implementation(asio::io_context& io) : context(io) {}

    // Registers a timer that notify() cancels, for the lifetime of the object.
    class waiting_timer {
    public:
        waiting_timer(implementation& owner, steady_time until)
            : owner(owner), timer(owner.context, until) {
            this->owner.waiting.insert(&this->timer);
        }
        ~waiting_timer() { this->owner.waiting.erase(&this->timer); }
        waiting_timer(waiting_timer const&) = delete;
        waiting_timer& operator=(waiting_timer const&) = delete;
        waiting_timer(waiting_timer&&) = delete;
        waiting_timer& operator=(waiting_timer&&) = delete;

        asio::awaitable<void> wait() {
            co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }

    private:
        implementation& owner;
        asio::steady_timer timer;
    };

    // Shares ownership of the implementation, because the wait may be destroyed after the signal.
    static asio::awaitable<void> wait(std::shared_ptr<implementation> self, steady_time until) {
        waiting_timer timer(*self, until);
        co_await timer.wait();
    }

    asio::io_context& context;
    std::unordered_set<asio::steady_timer*> waiting;
};

change_signal::change_signal(asio::io_context& context)
    : self(std::make_shared<implementation>(context)) {}

change_signal::~change_signal() = default;

void change_signal::notify() {
    for (auto* timer : this->self->waiting) {
        timer->cancel();
    }
}

asio::awaitable<void> change_signal::wait(steady_time until) {
    return implementation::wait(this->self, until);
}

} // namespace peridot
