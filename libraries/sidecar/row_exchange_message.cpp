#include "sidecar/row_exchange_message.h"

#include "core/compression.h"
#include "sidecar/replica_row_json.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <charconv>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::string_view rows_path = "/rows";
constexpr std::string_view revisions_path = "/revisions";
constexpr std::string_view wait_parameter = "hold";
// Follows the name of a table in the parameter with the era of its revision.
constexpr std::string_view era_suffix = ".era";
// A long-polling query occupies a connection, so the wait time is limited.
constexpr milliseconds max_wait_limit{5000};
constexpr unsigned status_ok = 200;
constexpr std::string_view store_time_field = "Peridot-Store-Time";
constexpr std::string_view clock_era_field = "Peridot-Store-Time-Era";
constexpr std::string_view encoding_field = "Content-Encoding";
constexpr std::string_view zstandard_encoding = "zstd";
// A configuration with many routes takes long to transfer on a link of 10 Mbit/s; compressing short
// pages gains nothing.
constexpr std::size_t min_compressed_bytes = 1024;
constexpr std::size_t max_page_bytes = std::size_t{16} * 1024 * 1024;

std::optional<std::uint64_t> number(std::string_view text) {
    std::uint64_t read = 0;
    auto const [end, failed] = std::from_chars(text.data(), text.data() + text.size(), read);
    if (failed != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return read;
}

error malformed(std::string const& reason) {
    return {result_code::platform_record_malformed,
            "cannot read rows from another node: " + reason};
}

} // namespace

http_request write_row_query(row_query const& query) {
    http_request request;
    request.target = query.is_revisions_only ? revisions_path : rows_path;
    request.target +=
        "?" + std::string(wait_parameter) + "=" + std::to_string(query.max_wait.count());
    for (auto const& [table, revision] : query.held) {
        request.target += "&" + table + "=" + std::to_string(revision.number);
        if (revision.era != 0) {
            request.target +=
                "&" + table + std::string(era_suffix) + "=" + std::to_string(revision.era);
        }
    }
    return request;
}

std::optional<row_query> read_row_query(http_request const& request) {
    auto const parsed = boost::urls::parse_origin_form(request.target);
    if (request.method != "GET" || !parsed) {
        return std::nullopt;
    }
    row_query query;
    query.is_revisions_only = parsed->encoded_path() == revisions_path;
    if (!query.is_revisions_only && parsed->encoded_path() != rows_path) {
        return std::nullopt;
    }
    for (auto const& parameter : parsed->params()) {
        auto const read = number(parameter.value);
        if (!read) {
            return std::nullopt;
        }
        if (parameter.key == wait_parameter) {
            query.max_wait = std::min(
                max_wait_limit, milliseconds(std::min<std::uint64_t>(
                                    *read, static_cast<std::uint64_t>(max_wait_limit.count()))));
        } else if (parameter.key.ends_with(era_suffix)) {
            auto const table = parameter.key.substr(0, parameter.key.size() - era_suffix.size());
            query.held[table].era = *read;
        } else {
            query.held[parameter.key].number = *read;
        }
    }
    return query;
}

http_response write_row_page(row_page const& page) {
    json::object covered;
    json::object eras;
    for (auto const& [table, revision] : page.covered) {
        covered[table] = revision.number;
        if (revision.era != 0) {
            eras[table] = revision.era;
        }
    }
    json::object written{{"covered", std::move(covered)},
                         {"current", page.is_current},
                         {"rows", to_json(page.rows)}};
    // Without eras, the message is the one of earlier releases.
    if (!eras.empty()) {
        written["eras"] = std::move(eras);
    }
    http_response answer;
    answer.body = json::serialize(written);
    if (answer.body.size() >= min_compressed_bytes) {
        answer.body = compress(answer.body);
        answer.headers.set(std::string(encoding_field), std::string(zstandard_encoding));
    }
    if (page.store_time) {
        add_store_time(answer, *page.store_time, page.clock_era);
    }
    return answer;
}

result<row_page> read_row_page(http_response const& answer) {
    if (answer.status != status_ok) {
        return malformed("status " + std::to_string(answer.status));
    }
    auto const is_compressed = answer.headers.value(encoding_field) == zstandard_encoding;
    auto const text =
        is_compressed ? decompress(answer.body, max_page_bytes) : result<std::string>(answer.body);
    if (!is_ok(text)) {
        return failure(text);
    }
    row_page page;
    try {
        auto const parsed = json::parse(value(text));
        auto const& object = parsed.as_object();
        for (auto const& [table, revision] : object.at("covered").as_object()) {
            page.covered[std::string(table)].number = revision.to_number<std::uint64_t>();
        }
        if (auto const* eras = object.if_contains("eras")) {
            for (auto const& [table, era] : eras->as_object()) {
                page.covered[std::string(table)].era = era.to_number<std::uint64_t>();
            }
        }
        page.is_current = object.at("current").as_bool();
        page.rows = read_replica_rows(object.at("rows"));
    } catch (std::exception const& fault) {
        return malformed(fault.what());
    }
    // Nodes that do not know the clock, or run an earlier version of the program, do not send it.
    if (auto const time = number(answer.headers.value(store_time_field));
        time && *time <= static_cast<std::uint64_t>(milliseconds::max().count())) {
        page.store_time = milliseconds(*time);
        page.clock_era = number(answer.headers.value(clock_era_field)).value_or(0);
    }
    return page;
}

void add_store_time(http_response& answer, milliseconds store_time, std::uint64_t era) {
    answer.headers.set(std::string(store_time_field), std::to_string(store_time.count()));
    if (era != 0) {
        answer.headers.set(std::string(clock_era_field), std::to_string(era));
    }
}

} // namespace peridot
