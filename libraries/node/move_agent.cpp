#include "node/move_agent.h"

#include "core/log.h"
#include "moves/move_share.h"
#include "node/attachment_kinds.h"
#include "node/judge_choice.h"
#include "node/move_decisions.h"
#include "proxy/node_state.h"

#include <algorithm>
#include <set>

namespace peridot {

namespace {

// A changed state goes to this many members at each of so many ticks, from every node that learns
// of it; with the datagrams of the membership it reaches all in about a second.
constexpr std::size_t push_fan_out = 4;
constexpr unsigned pushes_of_latch = 5;
constexpr unsigned pushes_of_gate = 2;
// A node that joins a move under way keeps the new version closed until it has heard another node's
// state, for at most this long.
constexpr seconds longest_wait_for_state{3};

} // namespace

class move_agent::implementation {
public:
    implementation(node_state& node, decision_log& log, move_links given)
        : state(node), decisions(log), links(std::move(given)) {}

    void tick(steady_time now, wall_time clock) {
        this->follow_version(now, clock);
        this->follow_members();
        for (auto& [id, move] : this->moves) {
            this->judge_move(move, clock);
            this->set_share(move, now, clock);
            this->report(move, now);
            this->push(move);
            this->note_end(move, now, clock);
        }
    }

    std::string next_state() {
        if (this->moves.empty()) {
            return {};
        }
        auto next = this->moves.upper_bound(this->last_attached);
        if (next == this->moves.end()) {
            next = this->moves.begin();
        }
        this->last_attached = next->first;
        return encode(next->second.state);
    }

    void receive_state(std::string_view bytes, std::string_view sender) {
        auto const received = decode_move_state(bytes);
        if (!is_ok(received) || sender == this->state.instance) {
            return;
        }
        auto const found = this->moves.find(value(received).move);
        if (found != this->moves.end()) {
            found->second.is_informed = true;
            this->merge_state(found->second, value(received));
        }
    }

    void receive_evidence(std::string_view bytes) {
        auto const received = decode_evidence_report(bytes);
        if (!is_ok(received)) {
            return;
        }
        auto const found = this->moves.find(value(received).move);
        if (found != this->moves.end() && found->second.judgement) {
            found->second.judgement->aggregator.accept(value(received));
        }
    }

    std::map<std::string, running_move> moves;

private:
    void follow_version(steady_time now, wall_time clock) {
        auto const held = this->state.snapshots.current();
        if (!held || held == this->snapshot) {
            return;
        }
        this->snapshot = held;
        this->is_membership_new = true;
        std::set<std::string> present;
        for (auto const& [name, chunk] : held->services()) {
            if (chunk.move.empty()) {
                continue;
            }
            auto declared = decode_move_declaration(chunk.move, held->version());
            if (!is_ok(declared)) {
                log::write(log::level::error, "move_malformed",
                           {{"service", name}, {"message", describe(failure(declared))}});
                continue;
            }
            if (value(declared).plan.service == name) {
                present.insert(value(declared).plan.id);
                this->follow_declaration(value(std::move(declared)), now, clock);
            }
        }
        std::erase_if(this->moves,
                      [&](auto const& entry) { return !present.contains(entry.first); });
        this->publish();
    }

    void follow_declaration(move_declaration declared, steady_time now, wall_time clock) {
        auto const id = declared.plan.id;
        auto found = this->moves.find(id);
        if (found != this->moves.end() && !(found->second.plan() == declared.plan)) {
            // A changed plan keeps what is known of the move, but is judged anew.
            found->second.judgement.reset();
        }
        if (found == this->moves.end()) {
            found = this->moves.emplace(id, running_move(declared, this->state.instance)).first;
            found->second.known_since = now;
            found->second.is_informed = clock < declared.plan.start;
            record_declared(this->decisions, declared.plan);
        }
        auto& move = found->second;
        move.declaration = std::move(declared);
        move_state asked;
        asked.move = id;
        if (move.declaration.pause) {
            asked.pause = *move.declaration.pause;
        }
        if (move.declaration.taken_back_at) {
            take_back latch;
            latch.at_since_epoch = *move.declaration.taken_back_at;
            latch.setter = "operator";
            latch.reason = take_back_reason::operator_request;
            asked.latch = latch;
        }
        this->merge_state(move, asked);
    }

    void merge_state(running_move& move, move_state const& other) {
        auto const before = move.state;
        merge(move.state, other);
        if (move.state == before) {
            return;
        }
        record_changes(this->decisions, move, before);
        bool const is_latched = move.state.latch && !before.latch;
        move.pushes_left =
            std::max(move.pushes_left, is_latched ? pushes_of_latch : pushes_of_gate);
        if (is_latched && move.service) {
            // Closed at once, not with the next tick.
            move.service->progress->set_share(0);
        }
    }

    std::map<std::string, std::shared_ptr<route_counters>, std::less<>>
    make_routes(running_move const& move) const {
        std::map<std::string, std::shared_ptr<route_counters>, std::less<>> routes;
        if (move.service) {
            routes = move.service->routes;
        }
        for (auto const& [workspace, entry] : this->snapshot->manifest_content().workspaces) {
            auto const* terms = this->snapshot->find_contract(workspace);
            if (terms == nullptr) {
                continue;
            }
            for (auto const& grant : terms->grants) {
                if (grant.service != move.plan().service) {
                    continue;
                }
                for (auto const& route : grant.routes) {
                    auto& counters = routes[route.path_prefix];
                    if (!counters) {
                        counters = std::make_shared<route_counters>();
                    }
                }
            }
        }
        return routes;
    }

    // The request path gets a new table; progress and counters of running moves stay the same.
    void publish() {
        auto table = std::make_shared<move_table>();
        for (auto& [id, move] : this->moves) {
            auto service = std::make_shared<moved_service>();
            service->plan = move.plan();
            service->progress =
                move.service ? move.service->progress : std::make_shared<move_progress>();
            service->routes = this->make_routes(move);
            move.service = service;
            table->services[move.plan().service] = std::move(service);
        }
        this->state.moves.replace(std::move(table));
    }

    void follow_members() {
        auto current = this->links.directory();
        if (!current || (current == this->directory && !this->is_membership_new)) {
            return;
        }
        this->directory = std::move(current);
        this->is_membership_new = false;
        for (auto& [id, move] : this->moves) {
            auto const& plan = move.plan();
            move.capacity = {this->slots_of(plan.service, plan.from),
                             this->slots_of(plan.service, plan.to)};
            auto judges = choose_judges(this->directory->members(), id);
            if (judges != move.judges) {
                move.judges = std::move(judges);
                move.evidence.reset();
            }
            bool const is_judge = std::find(move.judges.begin(), move.judges.end(),
                                            this->state.instance) != move.judges.end();
            if (is_judge && !move.judgement) {
                move.judgement = std::make_unique<move_judgement>(plan, this->state.instance,
                                                                  move.service->routes.size());
                move.evidence.reset();
            } else if (!is_judge) {
                move.judgement.reset();
            }
        }
    }

    std::uint64_t slots_of(std::string const& service, std::string const& version) const {
        std::uint64_t slots = 0;
        for (auto const& endpoint : this->directory->endpoints(service, version)) {
            slots += endpoint->slots;
        }
        return slots;
    }

    void judge_move(running_move& move, wall_time clock) {
        if (!move.judgement || move.state.latch) {
            return;
        }
        auto const decided =
            move.judgement->decider.assess(clock, move.state, move.judgement->aggregator.totals());
        auto next = move.state;
        if (auto const* raise = std::get_if<step_raise>(&decided)) {
            next.gate = raise->step;
        } else if (auto const* latch = std::get_if<take_back>(&decided)) {
            next.latch = *latch;
        }
        this->merge_state(move, next);
    }

    bool may_open(running_move& move, steady_time now) const {
        bool const is_alone = !this->directory || this->directory->members().size() < 2;
        bool const has_waited =
            move.known_since && now - *move.known_since >= longest_wait_for_state;
        move.is_informed = move.is_informed || (is_alone && has_waited) || has_waited;
        return move.is_informed;
    }

    // The counts up to now are reported before another share is in force; see report_policy.
    void set_share(running_move& move, steady_time now, wall_time clock) {
        auto& progress = *move.service->progress;
        double const next =
            this->may_open(move, now) ? share_at(move.plan(), move.state, move.capacity, clock) : 0;
        if (next == progress.share()) {
            return;
        }
        move.evidence.set_share_changed();
        this->report(move, now);
        progress.set_share(next);
        record_share(move, next);
    }

    void report(running_move& move, steady_time now) {
        auto const made = move.evidence.take_report(*move.service, this->links.incarnation(), now);
        if (!made) {
            return;
        }
        if (move.judgement) {
            move.judgement->aggregator.accept(*made);
        }
        for (auto& bytes : encode(*made)) {
            attachment const item{attachment_kinds::move_evidence, std::move(bytes)};
            for (auto const& instance : move.judges) {
                if (instance != this->state.instance) {
                    this->links.send(instance, item);
                }
            }
        }
    }

    void push(running_move& move) {
        if (move.pushes_left == 0) {
            return;
        }
        --move.pushes_left;
        attachment const item{attachment_kinds::move_state, encode(move.state)};
        this->links.push(item, push_fan_out);
    }

    void note_end(running_move& move, steady_time now, wall_time clock) {
        auto const phase = phase_at(move.plan(), move.state, clock);
        bool const is_over = phase == move_phase::done || phase == move_phase::taken_back;
        if (is_over && !move.over_since) {
            move.over_since = now;
            record_over(this->decisions, move);
        } else if (!is_over) {
            move.over_since.reset();
        }
    }

    node_state& state;
    decision_log& decisions;
    move_links links;
    std::shared_ptr<configuration_snapshot const> snapshot;
    std::shared_ptr<endpoint_directory const> directory;
    bool is_membership_new = true;
    std::string last_attached;
};

move_agent::move_agent(node_state& state, decision_log& decisions, move_links links)
    : self(std::make_unique<implementation>(state, decisions, std::move(links))) {}

move_agent::~move_agent() = default;

void move_agent::tick(steady_time now, wall_time clock) {
    this->self->tick(now, clock);
}

std::string move_agent::next_state() {
    return this->self->next_state();
}

void move_agent::receive_state(std::string_view bytes, std::string_view sender) {
    this->self->receive_state(bytes, sender);
}

void move_agent::receive_evidence(std::string_view bytes) {
    this->self->receive_evidence(bytes);
}

std::map<std::string, running_move> const& move_agent::moves() const {
    return this->self->moves;
}

} // namespace peridot
