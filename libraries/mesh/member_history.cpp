#include "mesh/member_history.h"

#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace peridot {

namespace {

// Records that are not in the store's copy were written after all that are in it.
constexpr auto after_copy = std::numeric_limits<std::uint64_t>::max();

// Whether the record is later in the life of the instance's targets than the other one.
bool is_later(target_record const& record, target_record const& other) {
    if (is_same_process(record, other)) {
        return leaving_stage(record.state) > leaving_stage(other.state);
    }
    return record.started_ms > other.started_ms;
}

bool is_lost(member const& record) {
    return record.revision.number == after_copy;
}

// Revisions do not order a record that the store has lost.
bool is_registered_later(member const& record, member const& other) {
    if (!is_lost(record) && !is_lost(other)) {
        return record.revision > other.revision;
    }
    if (record.target.started_ms != other.target.started_ms) {
        return record.target.started_ms > other.target.started_ms;
    }
    return is_lost(other);
}

} // namespace

std::vector<member> member_history::update(std::vector<member> const& stored, std::uint64_t era) {
    std::set<std::string_view> present;
    for (auto const& record : stored) {
        present.insert(record.instance);
        this->learn(record);
    }
    std::erase_if(this->by_instance, [&](auto const& entry) {
        return !present.contains(entry.first) && entry.second.seen.era >= era;
    });
    std::vector<member> used;
    used.reserve(this->by_instance.size());
    for (auto const& [instance, known] : this->by_instance) {
        used.push_back(known.record);
        if (!present.contains(instance)) {
            used.back().revision = {era, after_copy};
        }
    }
    return used;
}

void member_history::learn(member const& stored) {
    auto const found = this->by_instance.find(stored.instance);
    if (found == this->by_instance.end()) {
        this->by_instance.emplace(stored.instance, known_member{stored, stored.revision});
        return;
    }
    auto& known = found->second;
    if (stored.revision <= known.seen) {
        return;
    }
    bool const is_from_copy =
        stored.revision.era > known.seen.era && is_later(known.record.target, stored.target);
    if (!is_from_copy) {
        known.record = stored;
    }
    known.record.revision = stored.revision;
    known.seen = stored.revision;
}

std::vector<member> newest_by_address(std::vector<member> records) {
    std::map<std::string, member*> by_address;
    for (auto& record : records) {
        auto const [entry, is_new] = by_address.emplace(record.ip, &record);
        if (!is_new && is_registered_later(record, *entry->second)) {
            entry->second = &record;
        }
    }
    std::vector<member> newest;
    newest.reserve(by_address.size());
    for (auto const& [ip, record] : by_address) {
        newest.push_back(std::move(*record));
    }
    return newest;
}

} // namespace peridot
