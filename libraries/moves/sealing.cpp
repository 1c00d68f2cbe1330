#include "moves/sealing.h"

#include "core/digest.h"

#include <moves.pb.h>

#include <cstdint>

namespace peridot {

namespace {

std::uint32_t check_value(std::string_view body) {
    return static_cast<std::uint32_t>(fingerprint(body));
}

} // namespace

std::string seal(std::string body) {
    moves_wire::sealed message;
    message.set_check(check_value(body));
    message.set_body(std::move(body));
    return message.SerializeAsString();
}

std::optional<std::string> unseal(std::string_view bytes) {
    moves_wire::sealed message;
    // The comparison of sizes rejects messages that contain a field twice, which protobuf merges.
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.ByteSizeLong() != bytes.size() || message.check() != check_value(message.body())) {
        return std::nullopt;
    }
    return std::move(*message.mutable_body());
}

} // namespace peridot
