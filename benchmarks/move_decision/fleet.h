#pragma once

#include "entry_node.h"
#include "moves/evidence_aggregator.h"
#include "moves/judge.h"
#include "moves/move_plan.h"
#include "run.h"
#include "traffic.h"

#include <optional>
#include <string>
#include <vector>

namespace peridot::move_decision {

/// Simulates eight entry nodes, one judge and the messages between them in ticks of 200 ms. Reports
/// arrive after one tick, and 2 % are lost; the judge's decisions reach each node after 50 to 650
/// ms.
class fleet {
public:
    fleet(scenario const& given_case, method given_method, std::uint64_t seed);

    /// Runs the move to completion.
    run_outcome run();

private:
    struct sent_report {
        double arrives = 0;
        std::string datagram;
    };
    struct sent_state {
        double arrives = 0;
        std::size_t node = 0;
        move_state state;
    };

    void tick(double second);
    void deliver(double second);
    void serve(double second);
    void serve_node(entry_node& node, double second, double share);
    void record_suspicion(entry_node& node, traffic::drawn_calls const& added, double second);
    void report(entry_node& node, double second);
    void decide(double second);
    void decide_by_threshold(double second);
    void decide_by_judge(double second);
    void check_sufficiency(double second);
    void gossip_state(double second);
    double share_of(entry_node const& node, double second) const;
    wall_time at(double second) const;

    scenario test_case;
    method decision_method;
    move_plan plan;
    traffic calls;
    std::vector<entry_node> nodes;
    std::vector<std::string> routes;
    std::vector<sent_report> reports;
    std::vector<sent_state> states;
    move_state judge_state;
    evidence_aggregator aggregator;
    judge move_judge;
    /// Calls and failures of the new version: the current totals, and the totals at recent ticks.
    event_sample new_calls;
    std::vector<event_sample> window;
    std::optional<double> sufficient_at;
    std::optional<double> last_sent_at;
    double exposed_calls = 0;
    run_outcome outcome;
};

} // namespace peridot::move_decision
