#include "node/span_export.h"

#include "http/connection_pool.h"
#include "observability/otlp.h"
#include "observability/span_buffer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridot {

namespace {

constexpr seconds export_period{1};
constexpr seconds export_timeout{2};
constexpr std::size_t most_spans_in_batch = 512;

} // namespace

boost::asio::awaitable<void> export_spans(span_buffer& spans, connection_pool& connections,
                                          socket_address collector, span_source source) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    for (;;) {
        auto const batch = spans.drain(most_spans_in_batch);
        if (!batch.empty()) {
            http_request request{"POST",
                                 "/v1/traces",
                                 {{"Content-Type", "application/json"}},
                                 encode_batch(batch, source)};
            auto const deadline = std::chrono::steady_clock::now() + export_timeout;
            (void)co_await connections.exchange(collector, std::move(request), deadline);
        }
        timer.expires_after(export_period);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace peridot
