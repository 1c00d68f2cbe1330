#include "proxy/refusal.h"

#include "proxy/header_names.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

unsigned http_status(result_code code) {
    switch (code) {
    case result_code::request_unauthenticated:
        return 401;
    case result_code::request_no_route:
        return 404;
    case result_code::request_limit_exceeded:
        return 429;
    case result_code::request_malformed:
        return 400;
    case result_code::request_too_large:
        return 413;
    case result_code::request_duplicate:
        return 409;
    case result_code::request_misdirected:
        return 421;
    case result_code::request_deadline_exceeded:
    case result_code::request_outcome_unknown:
        return 504;
    case result_code::request_answer_incomplete:
    case result_code::request_answer_mismatched:
        return 502;
    default:
        return 503;
    }
}

} // namespace

http_response make_refusal(error const& reason, std::string_view outcome) {
    auto const number = static_cast<unsigned>(reason.code);
    boost::json::object const body{{"code", number},
                                   {"name", name(reason.code)},
                                   {"message", reason.message},
                                   {"outcome", outcome}};
    http_response answer;
    answer.status = http_status(reason.code);
    answer.headers.set("Content-Type", "application/json");
    answer.headers.set(header_names::outcome, outcome);
    answer.headers.set(header_names::code, std::to_string(number));
    answer.body = boost::json::serialize(body);
    return answer;
}

} // namespace peridot
