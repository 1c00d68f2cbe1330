#pragma once

#include "membership/datagram_writer.h"
#include "membership/member_update.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace peridot {

/// Updates pending dissemination, the least often sent first. Holds one update per member.
class update_queue {
public:
    /// Queues an update, replacing an older one on the same member.
    void add(member_update const& update);

    /// Queues an update that is additionally pushed in `rounds` rounds.
    void add_urgent(member_update const& update, unsigned rounds);

    /// Appends as many updates as fit; updates sent `limit` times are dropped.
    void append_to(datagram_writer& writer, unsigned limit);

    /// Fills one datagram of a push round with urgent updates on the instances after `after`;
    /// returns the last instance that fitted, or nothing if no instances remain.
    std::optional<std::string> append_urgent_to(datagram_writer& writer, std::string_view after);

    bool is_push_due() const { return !this->urgent.empty(); }
    std::size_t size() const { return this->items.size(); }

private:
    /// Number of times sent, then newest first.
    using priority = std::pair<unsigned, std::uint64_t>;
    struct item {
        std::string instance;
        std::string part;
    };
    struct urgent_item {
        std::string part;
        unsigned rounds = 0;
    };

    std::map<priority, item> items;
    std::map<std::string, priority, std::less<>> priorities;
    std::map<std::string, urgent_item, std::less<>> urgent;
    std::uint64_t next_serial = UINT64_MAX;
};

} // namespace peridot
