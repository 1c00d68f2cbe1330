#pragma once

#include "membership/attachment.h"
#include "membership/datagram_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace peridot {

/// Callbacks of a subsystem whose state is carried in membership datagrams.
struct attachment_provider {
    /// Returns the bytes to attach to the next datagram; empty for none. They must be short because
    /// every probe carries them. The function may be unset if the subsystem only receives.
    std::function<std::string()> current;
    /// Called with the received bytes, which are untrusted, and the sender's instance name.
    std::function<void(std::string_view bytes, std::string_view sender)> receive;
};

/// Attachment providers, indexed by attachment kind.
class attachment_registry {
public:
    /// Registers or replaces the provider of a kind.
    void set(std::uint32_t kind, attachment_provider provider);

    /// Appends the providers' attachments in round-robin order, up to a fixed byte budget.
    void append_to(datagram_writer& writer);

    /// Dispatches a received attachment to its provider; ignores kinds without a provider.
    void receive(attachment const& item, std::string_view sender) const;

private:
    std::map<std::uint32_t, attachment_provider> providers;
    /// The kind to attach first; rotates so that all are sent even when not all fit at once.
    std::uint32_t next_kind = 0;
};

} // namespace peridot
