#pragma once

#include "membership/datagram_codec.h"

#include <string>
#include <string_view>
#include <utility>

namespace peridot {

/// Builds one datagram from encoded updates and attachments, up to the size limit.
class datagram_writer {
public:
    explicit datagram_writer(datagram const& header) : encoded(encode_header(header)) {}

    /// Appends a part from encode_update() or encode_attachment(); returns false if it does not
    /// fit.
    bool try_append(std::string_view part) {
        if (part.size() >= this->room()) {
            return false;
        }
        this->encoded += part;
        return true;
    }

    /// Number of bytes left below the datagram size limit.
    std::size_t room() const { return datagram_bytes_limit - this->encoded.size(); }

    std::string const& bytes() const { return this->encoded; }

private:
    std::string encoded;
};

} // namespace peridot
