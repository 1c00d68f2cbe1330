#pragma once

#include "membership/attachment.h"
#include "membership/datagram_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace peridot {

/// A subsystem whose state travels with the membership datagrams.
struct attachment_provider {
    /// The bytes to attach to a datagram that leaves now; empty for none. Kept short: they are in
    /// every probe. May be empty if the subsystem only receives.
    std::function<std::string()> current;
    /// Called with received bytes and the sender's instance name. The bytes are untrusted.
    std::function<void(std::string_view bytes, std::string_view sender)> receive;
};

/// Attachment providers by kind.
class attachment_registry {
public:
    /// Registers or replaces the provider of a kind.
    void set(std::uint32_t kind, attachment_provider provider);

    /// Attaches what the providers have, in turn, within a part of the datagram.
    void append_to(datagram_writer& writer);

    /// Hands a received attachment to its provider; a kind without a provider is skipped.
    void receive(attachment const& item, std::string_view sender) const;

private:
    std::map<std::uint32_t, attachment_provider> providers;
    /// The first kind to attach, so that each gets its turn when not all fit.
    std::uint32_t next_kind = 0;
};

} // namespace peridot
