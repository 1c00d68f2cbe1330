#include "node/own_evidence.h"

namespace peridot {

own_evidence::own_evidence(std::string of_move, std::string of_node)
    : move(std::move(of_move)), node(std::move(of_node)) {}

std::optional<evidence_report> own_evidence::take_report(moved_service const& service,
                                                         std::uint64_t incarnation,
                                                         steady_time now) {
    if (incarnation != this->known_incarnation) {
        this->begin_incarnation(incarnation);
    }
    auto counts = this->count(service);
    if (!this->policy.is_due(now, counts)) {
        return std::nullopt;
    }
    this->sent = counts;
    if (counts.empty()) {
        this->policy.record_sent(now, counts, 0);
        return std::nullopt;
    }
    evidence_report report{this->move, this->node, incarnation, ++this->sequence, counts};
    std::size_t bytes = 0;
    for (auto const& datagram : encode(report)) {
        bytes += datagram.size();
    }
    this->policy.record_sent(now, counts, bytes);
    return report;
}

evidence_by_route own_evidence::count(moved_service const& service) const {
    evidence_by_route counts;
    for (auto const& [route, counters] : service.routes) {
        auto const total = counters->load();
        auto const name = route.substr(0, route_evidence::maximum_route_length);
        auto const before = this->reported_before.find(name);
        auto const earlier =
            before == this->reported_before.end() ? route_evidence{} : before->second;
        route_evidence const grown{count_increase(total.old_version, earlier.old_version),
                                   count_increase(total.new_version, earlier.new_version)};
        if (grown.old_version.calls + grown.new_version.calls > 0) {
            auto& both = counts[name];
            both.old_version += grown.old_version;
            both.new_version += grown.new_version;
        }
    }
    return counts;
}

void own_evidence::begin_incarnation(std::uint64_t incarnation) {
    this->known_incarnation = incarnation;
    for (auto const& [route, counts] : this->sent) {
        auto& both = this->reported_before[route];
        both.old_version += counts.old_version;
        both.new_version += counts.new_version;
    }
    this->sent.clear();
    this->policy.reset();
}

} // namespace peridot
