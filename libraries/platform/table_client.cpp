#include "platform/table_client.h"

#include "platform/platform_exchange.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

error malformed(std::string const& what) {
    return error{result_code::platform_answer_malformed, "table service: " + what};
}

std::string encode(std::string_view text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

result<table_row> parse_row(json::value const& value) {
    auto const* row = value.if_object();
    auto const* key = row != nullptr ? row->if_contains("key") : nullptr;
    auto const* revision = row != nullptr ? row->if_contains("revision") : nullptr;
    auto const* content = row != nullptr ? row->if_contains("value") : nullptr;
    if (key == nullptr || revision == nullptr || content == nullptr || !key->is_string() ||
        !revision->is_int64() || revision->as_int64() < 0) {
        return malformed("missing or invalid key, revision or value in a row");
    }
    return table_row{std::string(key->as_string()),
                     static_cast<std::uint64_t>(revision->as_int64()), json::serialize(*content)};
}

result<table_row> parse_row_text(std::string const& body) {
    boost::system::error_code failed;
    auto const value = json::parse(body, failed);
    if (failed) {
        return malformed(failed.message());
    }
    return parse_row(value);
}

result<table_page> parse_page(std::string const& body) {
    boost::system::error_code failed;
    auto const document = json::parse(body, failed);
    auto const* page = failed ? nullptr : document.if_object();
    auto const* rows = page != nullptr ? page->if_contains("rows") : nullptr;
    auto const* has_more = page != nullptr ? page->if_contains("has_more") : nullptr;
    if (rows == nullptr || !rows->is_array() || has_more == nullptr || !has_more->is_bool()) {
        return malformed("missing or invalid rows or has_more in a page");
    }
    table_page parsed;
    parsed.has_more = has_more->as_bool();
    for (auto const& entry : rows->as_array()) {
        auto row = parse_row(entry);
        if (!is_ok(row)) {
            return failure(row);
        }
        parsed.rows.push_back(value(std::move(row)));
    }
    return parsed;
}

result<std::string> serialize(table_transaction const& transaction) {
    json::array conditions;
    for (auto const& condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"revision", condition.revision}});
    }
    json::array writes;
    for (auto const& write : transaction.writes) {
        boost::system::error_code failed;
        auto content = write.value ? json::parse(*write.value, failed) : json::value(nullptr);
        if (failed) {
            return malformed("value to write to row '" + write.key + "' is not valid JSON");
        }
        writes.push_back({{"key", write.key}, {"value", std::move(content)}});
    }
    return json::serialize(json::object{{"conditions", conditions}, {"writes", writes}});
}

result<std::uint64_t> parse_commit(http_response const& response) {
    if (response.status == 409) {
        return error{result_code::platform_conflict, response.body};
    }
    boost::system::error_code failed;
    auto const parsed = json::parse(response.body, failed);
    auto const* fields = failed ? nullptr : parsed.if_object();
    auto const* revision = fields != nullptr ? fields->if_contains("revision") : nullptr;
    if (response.status != 200 || revision == nullptr || !revision->is_int64()) {
        return malformed("invalid response to a commit, status " + std::to_string(response.status));
    }
    return static_cast<std::uint64_t>(revision->as_int64());
}

} // namespace

table_client::table_client(connection_pool& connections, socket_address service)
    : connections(&connections), service(std::move(service)) {}

boost::asio::awaitable<result<table_row>> table_client::read(std::string key,
                                                             steady_time deadline) {
    auto row = co_await this->read_if_changed(key, 0, deadline);
    if (!is_ok(row)) {
        co_return failure(row);
    }
    co_return value(row).value_or(table_row{key, 0, "null"});
}

boost::asio::awaitable<result<std::optional<table_row>>>
table_client::read_if_changed(std::string key, std::uint64_t cached_revision,
                              steady_time deadline) {
    http_request request{"GET", "/table/rows/" + encode(key), {}, {}};
    if (cached_revision != 0) {
        request.headers.set("If-None-Match", "\"" + std::to_string(cached_revision) + "\"");
    }
    auto exchanged = co_await detail::exchange_with_platform(*this->connections, this->service,
                                                             std::move(request), deadline);
    if (!is_ok(exchanged)) {
        co_return failure(exchanged);
    }
    auto const& response = value(exchanged);
    if (response.status == 304) {
        co_return std::nullopt;
    }
    if (response.status == 404) {
        co_return table_row{key, 0, "null"};
    }
    if (response.status != 200) {
        co_return malformed("unexpected status of a read: " + std::to_string(response.status));
    }
    auto row = parse_row_text(response.body);
    if (!is_ok(row)) {
        co_return failure(row);
    }
    co_return value(std::move(row));
}

boost::asio::awaitable<result<table_page>>
table_client::list(std::string prefix, std::string after, std::size_t limit, steady_time deadline) {
    http_request request{"GET",
                         "/table/rows?prefix=" + encode(prefix) + "&after=" + encode(after) +
                             "&limit=" + std::to_string(limit),
                         {},
                         {}};
    auto exchanged = co_await detail::exchange_with_platform(*this->connections, this->service,
                                                             std::move(request), deadline);
    if (!is_ok(exchanged)) {
        co_return failure(exchanged);
    }
    co_return parse_page(value(exchanged).body);
}

boost::asio::awaitable<result<std::uint64_t>> table_client::commit(table_transaction transaction,
                                                                   steady_time deadline) {
    auto body = serialize(transaction);
    if (!is_ok(body)) {
        co_return failure(body);
    }
    http_request request{"POST", "/table/transactions", {}, value(std::move(body))};
    auto exchanged = co_await detail::exchange_with_platform(*this->connections, this->service,
                                                             std::move(request), deadline);
    if (!is_ok(exchanged)) {
        co_return failure(exchanged);
    }
    co_return parse_commit(value(exchanged));
}

} // namespace peridot
