#include "membership/attachment_registry.h"

#include <utility>

namespace peridot {

namespace {

/// The remainder of the datagram is reserved for membership updates.
constexpr std::size_t attachment_budget_bytes = 700;

} // namespace

void attachment_registry::set(std::uint32_t kind, attachment_provider provider) {
    this->providers[kind] = std::move(provider);
}

void attachment_registry::append_to(datagram_writer& writer) {
    std::size_t budget = attachment_budget_bytes;
    auto position = this->providers.lower_bound(this->next_kind);
    for (std::size_t count = this->providers.size(); count > 0; --count) {
        if (position == this->providers.end()) {
            position = this->providers.begin();
        }
        auto const& [kind, provider] = *position++;
        std::string content = provider.current ? provider.current() : std::string();
        if (content.empty()) {
            continue;
        }
        std::string const part = encode_attachment({kind, std::move(content)});
        if (part.size() > attachment_budget_bytes) {
            continue; // It can never fit and must not block the others.
        }
        if (part.size() > budget || !writer.try_append(part)) {
            this->next_kind = kind;
            break;
        }
        budget -= part.size();
    }
}

void attachment_registry::receive(attachment const& item, std::string_view sender) const {
    auto const found = this->providers.find(item.kind);
    if (found != this->providers.end() && found->second.receive) {
        found->second.receive(item.content, sender);
    }
}

} // namespace peridot
