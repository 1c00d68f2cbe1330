#pragma once

#include <cstdint>

/// Kinds of attachments in membership datagrams. Numbers are never reused.
namespace peridot::attachment_kinds {

inline constexpr std::uint32_t configuration_head = 1;
inline constexpr std::uint32_t limits = 2;
inline constexpr std::uint32_t move_state = 3;
inline constexpr std::uint32_t move_evidence = 4;

} // namespace peridot::attachment_kinds
