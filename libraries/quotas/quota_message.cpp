#include "quotas/quota_message.h"

#include <quota_message.pb.h>

#include <algorithm>

namespace peridot {

namespace {

constexpr std::uint32_t max_tokens = 100'000;
constexpr std::uint32_t max_milliseconds = 60'000;
constexpr std::size_t max_instance_size = 200;

std::uint32_t to_wire(milliseconds time) {
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, max_milliseconds));
}

error malformed(std::string const& what) {
    return {result_code::datagram_malformed, what};
}

} // namespace

std::string encode_quota_message(quota_message const& message) {
    wire::quota_message out;
    out.set_instance(message.instance);
    out.set_sequence(message.sequence);
    out.set_pool(message.pool);
    out.set_delegated_milliseconds(to_wire(message.delegated));
    out.set_is_answer(message.is_answer);
    for (auto const& entry : message.entries) {
        auto& added = *out.add_entries();
        added.set_key(entry.workspace);
        added.set_tokens(std::min(entry.tokens, max_tokens));
        added.set_retry_after_milliseconds(to_wire(entry.retry_after));
    }
    return out.SerializeAsString();
}

result<quota_message> decode_quota_message(std::string_view bytes) {
    wire::quota_message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformed("not a quota message");
    }
    if (in.instance().empty() || in.instance().size() > max_instance_size ||
        in.delegated_milliseconds() > max_milliseconds ||
        static_cast<std::size_t>(in.entries_size()) > max_quota_entries) {
        return malformed("quota message with a field out of range");
    }
    quota_message message;
    message.instance = in.instance();
    message.sequence = in.sequence();
    message.pool = in.pool();
    message.delegated = milliseconds(in.delegated_milliseconds());
    message.is_answer = in.is_answer();
    for (auto const& entry : in.entries()) {
        if (entry.tokens() > max_tokens || entry.retry_after_milliseconds() > max_milliseconds) {
            return malformed("quota entry out of range");
        }
        message.entries.push_back(
            {entry.key(), entry.tokens(), milliseconds(entry.retry_after_milliseconds())});
    }
    return message;
}

} // namespace peridot
