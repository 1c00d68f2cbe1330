#pragma once

#include "core/result.h"
#include "membership/datagram.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

/// Datagrams must be smaller than this, so that no path fragments them.
inline constexpr std::size_t datagram_bytes_limit = 1200;
/// Pages of the member list must be smaller than this.
inline constexpr std::size_t page_bytes_limit = std::size_t{64} * 1024;

/// Encodes all fields of a datagram except its updates and attachments.
std::string encode_header(datagram const& header);

/// Encodes one update so that it can be appended to an encoded datagram: protobuf merges
/// concatenated messages, so an update is encoded once and sent many times.
std::string encode_update(member_update const& update);

/// Encodes one attachment so that it can be appended to an encoded datagram.
std::string encode_attachment(attachment const& item);

/// Encodes the cursor that ends a page in a datagram.
std::string encode_datagram_cursor(std::string_view next);

/// Decodes and validates a datagram; returns datagram_malformed if it is oversized, is not protobuf
/// or contains values out of range. Unknown fields are skipped.
result<datagram> decode_datagram(std::string_view bytes);

/// A page of the member list.
struct member_page {
    std::vector<member_update> members;
    /// Cursor of the next page; empty on the last page.
    std::string next;
};

/// Encodes one member so that it can be appended to a page.
std::string encode_page_member(member_update const& update);

/// Encodes the cursor that ends a page.
std::string encode_page_cursor(std::string_view next);

/// Decodes and validates a page; returns datagram_malformed as decode_datagram() does.
result<member_page> decode_page(std::string_view bytes);

} // namespace peridot
