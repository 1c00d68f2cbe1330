#pragma once

#include <algorithm>
#include <string_view>

namespace peridot {

/// Whether the text is a valid name of a workspace, service, target version or instance.
inline bool is_valid_name(std::string_view text) {
    auto const is_allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-';
    };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), is_allowed);
}

} // namespace peridot
