#include "node/move_links.h"

#include "membership/membership_agent.h"

namespace peridot {

move_links make_move_links(membership_agent& members) {
    move_links links;
    links.directory = [&members] { return members.directory().load(); };
    links.send = [&members](std::string const& instance, attachment const& item) {
        // What cannot be sent counts as lost; reports and states are repeated.
        (void)members.send_attachment(instance, item);
    };
    links.push = [&members](attachment const& item, std::size_t count) {
        members.push_attachment(item, count);
    };
    links.incarnation = [&members] { return members.protocol().own().incarnation; };
    return links;
}

} // namespace peridot
