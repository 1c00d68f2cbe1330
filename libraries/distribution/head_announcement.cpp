#include "distribution/head_announcement.h"

#include <head_message.pb.h>

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <iterator>

namespace peridot {

namespace {

constexpr std::size_t hash_bytes = 32;
constexpr std::size_t longest_announcement = 64;
// A version near the end of the range could not be followed by another, so it is taken for damage.
constexpr std::uint64_t largest_version = std::uint64_t{1} << 62U;
// Longer ages mean the same to every reader.
constexpr milliseconds longest_age{24 * 3600 * 1000};

} // namespace

std::string encode(head_announcement const& announcement) {
    wire::head_message message;
    message.set_version(announcement.version);
    std::string hash;
    boost::algorithm::unhex(announcement.manifest_hash, std::back_inserter(hash));
    message.set_manifest(hash);
    if (announcement.confirmation_age) {
        auto const age = std::clamp(*announcement.confirmation_age, milliseconds(0), longest_age);
        message.set_confirmation_age(static_cast<std::uint32_t>(age.count()));
    }
    return message.SerializeAsString();
}

result<head_announcement> decode_head_announcement(std::string_view bytes) {
    wire::head_message message;
    bool const is_parsed = !bytes.empty() && bytes.size() <= longest_announcement &&
                           message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    std::size_t const expected = message.version() == 0 ? 0 : hash_bytes;
    if (!is_parsed || message.version() > largest_version ||
        message.manifest().size() != expected || message.confirmation_age() > longest_age.count()) {
        return error{result_code::head_malformed, "the bytes are no head announcement"};
    }
    head_announcement announcement;
    announcement.version = message.version();
    boost::algorithm::hex_lower(message.manifest(), std::back_inserter(announcement.manifest_hash));
    if (message.has_confirmation_age()) {
        announcement.confirmation_age = milliseconds(message.confirmation_age());
    }
    return announcement;
}

} // namespace peridot
