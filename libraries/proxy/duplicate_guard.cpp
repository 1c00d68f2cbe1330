#include "proxy/duplicate_guard.h"

#include "core/digest.h"
#include "platform/table_client.h"

#include <boost/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr int most_tries = 3;
// Bounds one platform request, so that a lost answer leaves time to settle it.
constexpr milliseconds request_timeout{1000};

steady_time bounded(steady_time deadline) {
    return std::min(deadline, std::chrono::steady_clock::now() + request_timeout);
}

std::string holder_of(table_row const& row) {
    boost::system::error_code failed;
    auto const document = json::parse(row.value, failed);
    auto const* holder =
        document.is_object() ? document.as_object().if_contains("request") : nullptr;
    return holder != nullptr && holder->is_string() ? std::string(holder->as_string())
                                                    : std::string();
}

error duplicate() {
    return {result_code::request_duplicate,
            "an earlier request with this Idempotency-Key was accepted"};
}

} // namespace

duplicate_guard::duplicate_guard(table_client& rows) : table(&rows) {}

boost::asio::awaitable<status> duplicate_guard::claim(std::string workspace, std::string service,
                                                      std::string key, std::string id,
                                                      steady_time deadline) {
    // The key is the caller's text; its hash bounds the row's name and keeps it out of logs.
    this->row = "requests/" + workspace + "/" + service + "/" + sha256_hex(key);
    this->request_id = std::move(id);
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    auto const content = json::serialize(
        json::object{{"request", this->request_id},
                     {"accepted_ms", std::chrono::duration_cast<milliseconds>(now).count()}});
    error last{result_code::platform_unavailable, "the platform did not answer in time"};
    for (int attempt = 0; attempt < most_tries; ++attempt) {
        table_transaction transaction{{{this->row, 0}}, {{this->row, content}}};
        auto const written =
            co_await this->table->commit(std::move(transaction), bounded(deadline));
        if (is_ok(written)) {
            this->revision = value(written);
            co_return success();
        }
        last = failure(written);
        if (last.code != result_code::platform_conflict &&
            last.code != result_code::platform_answer_lost) {
            co_return last;
        }
        auto const settled = co_await this->settle(deadline);
        if (is_ok(settled) || failure(settled).code != result_code::platform_not_found) {
            co_return settled;
        }
        // The row is absent, so the lost write has not taken effect yet; the condition lets only
        // one of the two writes take effect.
    }
    co_return last;
}

boost::asio::awaitable<status> duplicate_guard::settle(steady_time deadline) {
    auto const found = co_await this->table->read(this->row, bounded(deadline));
    if (!is_ok(found)) {
        co_return failure(found);
    }
    if (value(found).revision == 0) {
        co_return error{result_code::platform_not_found, "the key is not held"};
    }
    if (holder_of(value(found)) != this->request_id) {
        co_return duplicate();
    }
    this->revision = value(found).revision;
    co_return success();
}

boost::asio::awaitable<void> duplicate_guard::release(steady_time deadline) {
    if (this->revision == 0) {
        co_return;
    }
    table_transaction transaction{{{this->row, this->revision}}, {{this->row, std::nullopt}}};
    this->revision = 0;
    // A key that cannot be given back stays held: the caller is told of a duplicate, and nothing
    // ran.
    (void)co_await this->table->commit(std::move(transaction), bounded(deadline));
}

} // namespace peridot
