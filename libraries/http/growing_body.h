#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridot::detail {

/// Body of a Beast message that takes memory only for the bytes that have arrived. A faulty server
/// may state any length, for which a string_body reserves memory at once.
struct growing_body {
    using value_type = std::string;

    class reader {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& target)
            : body(target) {}

        void init(boost::optional<std::uint64_t> const& /*length*/,
                  boost::beast::error_code& failed) {
            failed = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(ConstBufferSequence const& buffers, boost::beast::error_code& failed) {
            std::size_t added = 0;
            for (auto const buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<char const*>(buffer.data()), buffer.size());
                added += buffer.size();
            }
            failed = {};
            return added;
        }

        void finish(boost::beast::error_code& failed) { failed = {}; }

    private:
        value_type& body;
    };
};

} // namespace peridot::detail
