#include "fleet_query.h"

#include "platform_session.h"

#include <boost/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t page_size = 200;
constexpr milliseconds node_timeout{1000};
constexpr std::string_view member_prefix = "members/";

asio::awaitable<json::object> query_address(connection_pool& connections, socket_address address,
                                            std::string path, json::object report) {
    // NOTE: g++ 12 destroys an aggregate twice if it is created inside a co_await expression.
    http_request request{"GET", path, {}, {}};
    auto outcome = co_await connections.exchange(address, std::move(request),
                                                 std::chrono::steady_clock::now() + node_timeout);
    auto const* answer = std::get_if<http_response>(&outcome);
    if (answer == nullptr || answer->status != 200) {
        co_return report;
    }
    boost::system::error_code failed;
    auto status = json::parse(answer->body, failed);
    if (failed || !status.is_object()) {
        co_return report;
    }
    report = std::move(status.as_object());
    report["reachable"] = true;
    co_return report;
}

asio::awaitable<json::object> query_node(connection_pool& connections, table_row row,
                                         std::string path) {
    json::object report{{"instance", row.key.substr(member_prefix.size())}, {"reachable", false}};
    boost::system::error_code failed;
    auto const fields = json::parse(row.value, failed);
    auto const* ip = fields.is_object() ? fields.as_object().if_contains("ip") : nullptr;
    auto const* port = fields.is_object() ? fields.as_object().if_contains("admin") : nullptr;
    if (ip == nullptr || port == nullptr || !ip->is_string() || !port->is_int64()) {
        co_return report;
    }
    socket_address const address{std::string(ip->as_string()),
                                 static_cast<std::uint16_t>(port->as_int64())};
    co_return co_await query_address(connections, address, std::move(path), std::move(report));
}

asio::awaitable<result<std::vector<table_row>>> read_members(platform_session& session) {
    std::vector<table_row> rows;
    std::string after;
    for (;;) {
        auto page = co_await session.table.list(std::string(member_prefix), after, page_size,
                                                session.deadline());
        if (!is_ok(page)) {
            co_return failure(page);
        }
        for (auto& row : value(page).rows) {
            rows.push_back(std::move(row));
        }
        if (!value(page).has_more || rows.empty()) {
            co_return rows;
        }
        after = rows.back().key;
    }
}

json::array collect(platform_session& session, std::vector<std::future<json::object>>& pending) {
    session.context.restart();
    session.context.run();
    json::array fleet;
    for (auto& report : pending) {
        fleet.push_back(report.get());
    }
    return fleet;
}

} // namespace

result<json::array> query_fleet(platform_session& session, std::string const& path) {
    auto rows = session.run(read_members(session));
    if (!is_ok(rows)) {
        return failure(rows);
    }
    std::vector<std::future<json::object>> pending;
    for (auto const& row : value(rows)) {
        pending.push_back(asio::co_spawn(
            session.context, query_node(session.connections, row, path), asio::use_future));
    }
    return collect(session, pending);
}

json::array query_nodes(platform_session& session, std::vector<socket_address> const& addresses,
                        std::string const& path) {
    std::vector<std::future<json::object>> pending;
    for (auto const& address : addresses) {
        json::object unreachable{{"instance", address.ip + ":" + std::to_string(address.port)},
                                 {"reachable", false}};
        pending.push_back(asio::co_spawn(
            session.context,
            query_address(session.connections, address, path, std::move(unreachable)),
            asio::use_future));
    }
    return collect(session, pending);
}

std::uint64_t greatest_version(json::array const& fleet) {
    std::uint64_t greatest = 0;
    for (auto const& entry : fleet) {
        boost::system::error_code failed;
        auto const* version = entry.as_object().if_contains("version");
        if (version != nullptr) {
            greatest = std::max(greatest, version->to_number<std::uint64_t>(failed));
        }
    }
    return greatest;
}

} // namespace peridot
