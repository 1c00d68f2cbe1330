#pragma once

#include "moves/evidence_aggregator.h"
#include "moves/judge.h"
#include "moves/move_declaration.h"
#include "moves/move_state.h"
#include "moves/version_capacity.h"
#include "node/own_evidence.h"
#include "proxy/moved_service.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/// What a judge holds of a move.
struct move_judgement {
    move_judgement(move_plan const& plan, std::string const& instance, std::size_t routes)
        : aggregator(plan.id), decider(plan, instance, routes) {}

    evidence_aggregator aggregator;
    judge decider;
};

/// One move of the held version on this node; the control thread owns it.
struct running_move {
    running_move(move_declaration declared, std::string const& instance)
        : declaration(std::move(declared)), evidence(declaration.plan.id, instance) {
        this->state.move = this->declaration.plan.id;
    }

    move_plan const& plan() const { return this->declaration.plan; }

    move_declaration declaration;
    move_state state;
    std::shared_ptr<moved_service const> service;
    version_capacity capacity;
    own_evidence evidence;
    /// Instances that judge the move, best first.
    std::vector<std::string> judges;
    /// Set while this node is one of them.
    std::unique_ptr<move_judgement> judgement;
    /// Whether another node's state was heard, so that a take-back before this node's start is
    /// known here.
    bool is_informed = false;
    std::optional<steady_time> known_since;
    /// How often the state is still pushed, once a tick.
    unsigned pushes_left = 0;
    /// Since when the move is over, by this node's state.
    std::optional<steady_time> over_since;
};

} // namespace peridot
