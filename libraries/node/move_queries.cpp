#include "node/move_queries.h"

#include "node/move_agent.h"
#include "node/move_report.h"
#include "observability/decision_log.h"
#include "proxy/node_state.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::size_t most_decisions = 200;

http_response answer(unsigned status, json::object const& body) {
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

json::object describe_node(node_state const& state) {
    auto const held = state.snapshots.current();
    return {{"instance", state.instance},
            {"availability_zone", state.availability_zone},
            {"version", held ? held->version() : 0}};
}

http_response report_moves(node_state const& state, move_agent const& moves) {
    auto body = describe_node(state);
    json::array list;
    auto const now = std::chrono::steady_clock::now();
    auto const clock = std::chrono::system_clock::now();
    for (auto const& [id, move] : moves.moves()) {
        list.push_back(report_move(move, now, clock));
    }
    body["moves"] = std::move(list);
    return answer(200, body);
}

http_response report_decisions(node_state const& state, decision_log const& decisions,
                               std::string const& subject) {
    auto body = describe_node(state);
    auto found =
        subject.empty() ? decisions.latest(most_decisions) : decisions.find_by_subject(subject);
    if (found.empty() && subject.find('/') == std::string::npos) {
        found = decisions.find_by_subject("moves/" + subject);
    }
    body["decisions"] = to_json(found);
    return answer(200, body);
}

} // namespace

std::optional<http_response> answer_move_query(http_request const& request, node_state const& state,
                                               move_agent const& moves,
                                               decision_log const& decisions) {
    auto const parsed = boost::urls::parse_origin_form(request.target);
    if (request.method != "GET" || !parsed) {
        return std::nullopt;
    }
    if (parsed->path() == "/moves") {
        return report_moves(state, moves);
    }
    if (parsed->path() != "/decisions") {
        return std::nullopt;
    }
    auto const parameters = parsed->params();
    auto const subject = parameters.find("subject");
    return report_decisions(state, decisions,
                            subject == parameters.end() ? std::string()
                                                        : std::string((*subject).value));
}

} // namespace peridot
