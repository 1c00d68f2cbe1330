#include "proxy/move_choice.h"

#include "http/http_request.h"
#include "membership/endpoint_directory.h"
#include "moves/move_share.h"
#include "proxy/node_state.h"
#include "proxy/routed_call.h"

namespace peridot {

namespace {

void set_side(routed_call& call, target_side side) {
    call.side = side;
    call.target_version =
        side == target_side::new_version ? call.move->plan.to : call.move->plan.from;
}

std::string_view key_of(routed_call const& call, http_request const& request) {
    auto const& header = call.matched->session_header;
    auto const session = header.empty() ? std::string_view() : request.headers.value(header);
    return session.empty() ? std::string_view(call.request_id) : session;
}

} // namespace

void choose_target_version(routed_call& call, node_state const& state, http_request const& request,
                           steady_time now) {
    if (call.service->move.empty()) {
        return;
    }
    auto const table = state.moves.load();
    auto const found = table->services.find(call.grant->service);
    // The table follows the snapshot within one tick of the control thread; until then, and if it
    // is of another move, the service's target version serves.
    if (found == table->services.end() ||
        found->second->plan.from != call.service->target_version) {
        return;
    }
    call.move = found->second;
    bool const is_open = !call.move->progress->is_suspected(now);
    set_side(call, is_open ? choose_side(call.move->plan.id, key_of(call, request),
                                         call.move->progress->share())
                           : target_side::old_version);
}

void update_target_version(routed_call& call, endpoint_directory const& directory,
                           steady_time now) {
    if (!call.move) {
        return;
    }
    auto const& plan = call.move->plan;
    bool const has_old = !directory.endpoints(plan.service, plan.from).empty();
    bool const has_new = !directory.endpoints(plan.service, plan.to).empty();
    if (call.move->progress->share() <= 0) {
        set_side(call, target_side::old_version);
    } else if (call.side == target_side::new_version) {
        bool const leaves = !has_new || call.move->progress->is_suspected(now);
        set_side(call, leaves && has_old ? target_side::old_version : target_side::new_version);
    } else if (!has_old && has_new) {
        set_side(call, target_side::new_version);
    }
}

} // namespace peridot
