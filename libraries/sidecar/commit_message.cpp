#include "sidecar/commit_message.h"

#include "core/log.h"
#include "sidecar/replica_row_json.h"
#include "sidecar/row_conversion.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::string_view commit_path = "/commit";

struct outcome_writer {
    json::object operator()(commit_done const& done) const {
        json::object written{{"store_time_ms", done.store_time.count()}};
        add_revision(written, done.revision);
        return written;
    }
    json::object operator()(commit_conflict const& conflict) const {
        return {{"conflict", to_json(to_replica_rows(conflict.rows))}};
    }
    json::object operator()(error const& failed) const {
        return {{"error", static_cast<unsigned>(failed.code)}, {"message", failed.message}};
    }
};

commit_outcome read_outcome(json::object const& object) {
    if (auto const* rows = object.if_contains("conflict")) {
        return commit_conflict{to_store_rows(read_replica_rows(*rows))};
    }
    if (auto const* code = object.if_contains("error")) {
        return error{static_cast<result_code>(code->to_number<unsigned>()),
                     std::string(object.at("message").as_string())};
    }
    return commit_done{read_revision(object),
                       milliseconds(object.at("store_time_ms").to_number<std::int64_t>())};
}

} // namespace

http_request write_commit_request(std::vector<replica_row> const& rows) {
    http_request request;
    request.method = "POST";
    request.target = commit_path;
    request.body = json::serialize(to_json(rows));
    return request;
}

bool is_commit_request(http_request const& request) {
    return request.method == "POST" && request.target == commit_path;
}

std::optional<std::vector<replica_row>> read_commit_request(http_request const& request) {
    try {
        return read_replica_rows(json::parse(request.body));
    } catch (std::exception const& fault) {
        log::write(log::level::warning, "commit_request_unreadable", {{"reason", fault.what()}});
        return std::nullopt;
    }
}

http_response write_commit_outcome(commit_outcome const& outcome) {
    http_response answer;
    answer.body = json::serialize(std::visit(outcome_writer{}, outcome));
    return answer;
}

commit_outcome read_commit_outcome(http_response const& answer) {
    try {
        return read_outcome(json::parse(answer.body).as_object());
    } catch (std::exception const& fault) {
        return error{result_code::platform_answer_lost,
                     "the response of the writing node is malformed: " + std::string(fault.what())};
    }
}

} // namespace peridot
