#include "mesh/rollout_history.h"

#include "mesh/version_share.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace peridot {

namespace {

bool has_same_content(rollout const& first, rollout const& second) {
    return first.to == second.to && first.duration == second.duration;
}

// Whether the order came with the copy of the store and has not been written again since.
bool is_position_of_copy(rollout const& known) {
    return known.order.era < known.ordered_at.era && known.order.number == known.ordered_at.number;
}

// Whether the order that was found is the one of a roll-out that is known already. In a later era,
// the order may have another number, also if the operator writes again what the copy had.
bool is_same_order(rollout const& known, rollout const& found) {
    if (known.order == found.order || known.ordered_at == found.ordered_at) {
        return true;
    }
    bool const may_be_written_again =
        known.ordered_at.era < found.ordered_at.era ||
        (known.ordered_at.era == found.ordered_at.era && is_position_of_copy(known));
    return may_be_written_again && has_same_content(known, found);
}

// How far a roll-out has come. The old targets stop with a completion, so it goes before a
// roll-back.
auto progress(rollout const& current) {
    int const phase = current.phase == rollout_phase::complete      ? 2
                      : current.phase == rollout_phase::rolled_back ? 1
                                                                    : 0;
    return std::tuple(phase, current.started.count() != 0, current.step);
}

// Merges two states of the same order; of two that have come equally far, the recorded one counts.
rollout merge(rollout const& remembered, rollout const& recorded) {
    bool const is_ahead = progress(remembered) > progress(recorded);
    rollout merged = is_ahead ? remembered : recorded;
    merged.order = std::min(remembered.order, recorded.order);
    merged.ordered_at = std::max(remembered.ordered_at, recorded.ordered_at);
    return merged;
}

// Whether the progress that was read shows a later position of the order in the same era.
bool is_outdated(rollout const& ordered, rollout const& known) {
    return ordered.ordered_at.era == known.ordered_at.era && ordered.ordered_at < known.ordered_at;
}

// Whether the order is one of the copy, and the store has lost a later one. The copy shows it with
// the progress of an earlier era until the operator has written the later order again.
bool is_before(rollout_history::stored_rollout const& stored, rollout const& known) {
    if (!stored.recorded) {
        return false;
    }
    auto const& ordered_at = stored.ordered.ordered_at;
    auto const& recorded_at = stored.recorded->ordered_at;
    bool const is_in_copy =
        recorded_at.era < ordered_at.era && recorded_at.number == ordered_at.number;
    return is_in_copy && recorded_at < known.ordered_at;
}

} // namespace

std::map<std::string, rollout, std::less<>>
rollout_history::update(std::vector<stored_rollout> const& stored, std::uint64_t era) {
    std::set<std::string> present;
    for (auto const& entry : stored) {
        present.insert(entry.ordered.service);
        this->latest[entry.ordered.service] = this->resolve(entry);
    }
    // An order that the copy lacks is written again by the operator.
    std::erase_if(this->latest, [&](auto const& entry) {
        return !present.contains(entry.first) && entry.second.ordered_at.era >= era;
    });
    return this->latest;
}

rollout rollout_history::resolve(stored_rollout const& stored) const {
    auto const& ordered = stored.ordered;
    auto const found = this->latest.find(ordered.service);
    auto known = found == this->latest.end() ? std::nullopt : std::optional(found->second);
    if (known && stored.recorded && is_same_order(*known, *stored.recorded)) {
        known = merge(*known, *stored.recorded);
    }
    if (known && is_same_order(*known, ordered)) {
        known->ordered_at = ordered.ordered_at;
        return *known;
    }
    if (known && (is_outdated(ordered, *known) || is_before(stored, *known))) {
        return *known;
    }
    if (stored.recorded && is_same_order(*stored.recorded, ordered)) {
        auto recorded = *stored.recorded;
        recorded.ordered_at = ordered.ordered_at;
        return recorded;
    }
    rollout next = ordered;
    // The previous roll-out determines the version that is currently in force.
    if (known && (!stored.recorded || known->ordered_at >= stored.recorded->ordered_at)) {
        next.from = resulting_version(*known);
    } else if (stored.recorded) {
        next.from = resulting_version(*stored.recorded);
    }
    return next;
}

} // namespace peridot
