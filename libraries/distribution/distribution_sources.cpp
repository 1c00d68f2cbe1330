#include "distribution/distribution_sources.h"

#include "distribution/distribution_counters.h"
#include "http/connection_pool.h"
#include "platform/object_client.h"
#include "platform/table_client.h"

#include <algorithm>
#include <charconv>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr int longest_delay_seconds = 30;

peer_busy read_delay(http_response const& answer) {
    auto const text = answer.headers.value("Retry-After");
    int delay = 1;
    std::from_chars(text.data(), text.data() + text.size(), delay);
    return {seconds(std::clamp(delay, 1, longest_delay_seconds))};
}

class http_sources {
public:
    http_sources(connection_pool& pool, table_client& rows, object_client& blobs,
                 distribution_counters& totals)
        : connections(&pool), table(&rows), objects(&blobs), counters(&totals) {}

    asio::awaitable<result<std::optional<table_row>>> read_head(std::uint64_t known,
                                                                steady_time deadline) const {
        this->counters->bytes_out += http_header_bytes;
        auto row = co_await this->table->read_if_changed("head", known, deadline);
        if (is_ok(row)) {
            this->counters->bytes_in +=
                http_header_bytes + (value(row) ? value(row)->value.size() : 0);
        }
        co_return row;
    }

    asio::awaitable<result<std::string>> read_object(std::string key, steady_time deadline) const {
        this->counters->bytes_out += http_header_bytes + key.size();
        auto bytes = co_await this->objects->get(std::move(key), deadline);
        if (is_ok(bytes)) {
            this->counters->bytes_in += http_header_bytes + value(bytes).size();
        }
        co_return bytes;
    }

    asio::awaitable<peer_answer> ask_peer(socket_address peer, std::string path,
                                          steady_time deadline) const {
        this->counters->bytes_out += http_header_bytes + path.size();
        http_request request;
        request.target = std::move(path);
        auto outcome = co_await this->connections->exchange(peer, std::move(request), deadline);
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            co_return failed->reason;
        }
        auto& answer = std::get<http_response>(outcome);
        this->counters->bytes_in += http_header_bytes + answer.body.size();
        if (answer.status == status_unavailable) {
            co_return read_delay(answer);
        }
        if (answer.status != status_ok) {
            co_return error{result_code::chunk_missing,
                            to_string(peer) + " answers " + std::to_string(answer.status)};
        }
        co_return std::move(answer.body);
    }

private:
    connection_pool* connections;
    table_client* table;
    object_client* objects;
    distribution_counters* counters;
};

} // namespace

distribution_sources make_http_sources(connection_pool& connections, table_client& table,
                                       object_client& objects, distribution_counters& counters) {
    // Shared, so that a copy of the functions may outlive the one that a coroutine runs from.
    auto const http = std::make_shared<http_sources>(connections, table, objects, counters);
    distribution_sources sources;
    sources.read_head = [http](std::uint64_t known, steady_time deadline) {
        return http->read_head(known, deadline);
    };
    sources.read_object = [http](std::string key, steady_time deadline) {
        return http->read_object(std::move(key), deadline);
    };
    sources.ask_peer = [http](socket_address peer, std::string path, steady_time deadline) {
        return http->ask_peer(std::move(peer), std::move(path), deadline);
    };
    return sources;
}

} // namespace peridot
