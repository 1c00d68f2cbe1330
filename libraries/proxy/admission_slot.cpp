#include "proxy/admission_slot.h"

#include "admission/admission_controller.h"

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridot {

namespace {

namespace asio = boost::asio;

// Waits for the controller's decision, which arrives on another thread, and resumes on the own
// worker.
asio::awaitable<result<admission_permit>>
wait_in_queue(std::shared_ptr<admission_controller> controller, admission_request request) {
    auto begin = [controller, request](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto const executor = asio::get_associated_executor(*shared);
        auto const slot = asio::get_associated_cancellation_slot(*shared);
        auto const id =
            controller->wait(request, [shared, executor](result<admission_permit> decided) {
                asio::post(executor, [shared, decided] { std::move (*shared)(decided); });
            });
        if (slot.is_connected()) {
            asio::cancellation_slot assignable = slot;
            assignable.assign(
                [controller, id](asio::cancellation_type) { controller->cancel(id); });
        }
    };
    co_return co_await asio::async_initiate<asio::use_awaitable_t<> const,
                                            void(result<admission_permit>)>(begin,
                                                                            asio::use_awaitable);
}

} // namespace

admission_slot::~admission_slot() {
    if (this->held_from) {
        this->held_from->release(this->permit, std::chrono::steady_clock::now());
    }
}

asio::awaitable<status> admission_slot::take(std::shared_ptr<admission_controller> controller,
                                             admission_request request) {
    auto const first = controller->try_admit(request, std::chrono::steady_clock::now());
    if (auto const* refused = std::get_if<error>(&first)) {
        co_return *refused;
    }
    if (auto const* granted = std::get_if<admission_permit>(&first)) {
        this->permit = *granted;
        this->held_from = std::move(controller);
        co_return success();
    }
    auto const decided = co_await wait_in_queue(controller, request);
    if (!is_ok(decided)) {
        co_return failure(decided);
    }
    this->permit = value(decided);
    this->held_from = std::move(controller);
    co_return success();
}

} // namespace peridot
