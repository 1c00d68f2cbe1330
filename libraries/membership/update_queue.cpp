#include "membership/update_queue.h"

#include <vector>

namespace peridot {

namespace {

/// Less space than any update needs; ends a search that cannot succeed.
constexpr std::size_t min_update_bytes = 16;

} // namespace

void update_queue::add(member_update const& update) {
    std::string const& instance = update.record.instance;
    if (auto const existing = this->priorities.find(instance); existing != this->priorities.end()) {
        this->items.erase(existing->second);
    }
    this->urgent.erase(instance);
    priority const added{0, this->next_serial--};
    this->items[added] = {instance, encode_update(update)};
    this->priorities[instance] = added;
}

void update_queue::add_urgent(member_update const& update, unsigned rounds) {
    this->add(update);
    this->urgent[update.record.instance] = {encode_update(update), rounds};
}

void update_queue::append_to(datagram_writer& writer, unsigned limit) {
    std::vector<priority> sent;
    for (auto const& [position, queued] : this->items) {
        if (writer.room() < min_update_bytes) {
            break;
        }
        if (writer.try_append(queued.part)) {
            sent.push_back(position);
        }
    }
    for (auto const& position : sent) {
        auto node = this->items.extract(position);
        if (position.first + 1 >= limit) {
            this->priorities.erase(node.mapped().instance);
            continue;
        }
        node.key().first = position.first + 1;
        this->priorities[node.mapped().instance] = node.key();
        this->items.insert(std::move(node));
    }
}

std::optional<std::string> update_queue::append_urgent_to(datagram_writer& writer,
                                                          std::string_view after) {
    std::string last(after);
    auto position = after.empty() ? this->urgent.begin() : this->urgent.upper_bound(after);
    while (position != this->urgent.end()) {
        if (!writer.try_append(position->second.part)) {
            return last;
        }
        last = position->first;
        bool const is_done = --position->second.rounds == 0;
        position = is_done ? this->urgent.erase(position) : std::next(position);
    }
    return std::nullopt;
}

} // namespace peridot
