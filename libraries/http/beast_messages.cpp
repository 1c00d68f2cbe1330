#include "http/beast_messages.h"

#include <boost/beast/http/field.hpp>

namespace peridot::detail {

namespace {

namespace http = boost::beast::http;

// Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that are set from other parts of the
// message.
bool belongs_to_connection(http::field name) {
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::host:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

} // namespace

header_list from_beast(http::fields const& fields) {
    header_list headers;
    for (auto const& entry : fields) {
        if (!belongs_to_connection(entry.name())) {
            headers.add(entry.name_string(), entry.value());
        }
    }
    return headers;
}

void to_beast(header_list const& headers, http::fields& fields) {
    for (auto const& [name, value] : headers.all()) {
        if (!belongs_to_connection(http::string_to_field(name))) {
            fields.insert(name, value);
        }
    }
}

} // namespace peridot::detail
