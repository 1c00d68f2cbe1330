#include "workspace_load.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace peridot {

namespace {

// Gaps between the requests of the workspaces in relation to the largest one. They share few
// factors, so that the arrivals spread.
constexpr std::array<int, workspace_load::workspaces> gap_factors{1, 2, 4, 7, 13, 29};

} // namespace

std::string workspace_load::workspace_name(int index) {
    return "workspace-" + std::to_string(index);
}

void workspace_load::add_route(std::string const& route, unsigned priority, milliseconds gap) {
    for (int index = 0; index < workspaces; ++index) {
        arrival_stream stream;
        stream.route = route;
        stream.priority = priority;
        stream.gap = gap * gap_factors[static_cast<std::size_t>(index)];
        stream.work = milliseconds(100);
        stream.workspace = workspace_name(index);
        this->streams.push_back(stream);
    }
}

arrival_stream& workspace_load::add_internal_calls(milliseconds gap) {
    arrival_stream stream;
    stream.route = "internal";
    stream.gap = gap;
    stream.work = milliseconds(100);
    this->streams.push_back(stream);
    return this->streams.back();
}

std::vector<arrival_stream*> workspace_load::sources() {
    std::vector<arrival_stream*> all;
    for (auto& stream : this->streams) {
        all.push_back(&stream);
    }
    return all;
}

void workspace_load::for_each(std::function<void(arrival_stream&)> const& change) {
    std::ranges::for_each(this->streams, change);
}

void workspace_load::for_workspace(std::string const& workspace,
                                   std::function<void(arrival_stream&)> const& change) {
    for (auto& stream : this->streams) {
        if (stream.workspace == workspace) {
            change(stream);
        }
    }
}

void workspace_load::reset_counts() {
    for (auto& stream : this->streams) {
        stream.offered = 0;
        stream.started = 0;
        stream.answered = 0;
        stream.in_time = 0;
    }
}

double workspace_load::served(condition const& includes) const {
    std::int64_t offered = 0;
    std::int64_t answered = 0;
    for (auto const& stream : this->streams) {
        if (includes(stream)) {
            offered += stream.offered;
            answered += stream.answered;
        }
    }
    return offered == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(offered);
}

double workspace_load::all_served() const {
    return this->served([](arrival_stream const&) { return true; });
}

double workspace_load::workspace_served(std::string const& workspace) const {
    return this->served(
        [&](arrival_stream const& stream) { return stream.workspace == workspace; });
}

double workspace_load::route_served(std::string const& route) const {
    return this->served([&](arrival_stream const& stream) { return stream.route == route; });
}

double workspace_load::lowest_relative_fraction() const {
    double lowest = this->all_served();
    for (auto const& stream : this->streams) {
        lowest = std::min(
            {lowest, this->workspace_served(stream.workspace), this->route_served(stream.route)});
    }
    return lowest / this->all_served();
}

double workspace_load::urgency_gap() const {
    double gap = 0;
    for (auto const& urgent : this->streams) {
        for (auto const& other : this->streams) {
            if (urgent.priority < other.priority) {
                gap = std::max(gap,
                               this->route_served(other.route) - this->route_served(urgent.route));
            }
        }
    }
    return gap;
}

} // namespace peridot
