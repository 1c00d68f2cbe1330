#pragma once

#include "core/result.h"
#include "core/time.h"
#include "distribution/head_announcement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// Random members that a new version is pushed to in each round.
inline constexpr std::size_t head_push_fan_out = 4;

/// What a node knows of the version it holds, as it travels with membership datagrams. The version
/// only grows.
class head_gossip {
public:
    /// Takes a newer held version and starts its pushes; an older or equal one changes nothing.
    void hold(std::uint64_t version, std::string manifest_hash, std::size_t members);

    /// The platform was seen to have nothing newer than the held version.
    void confirm(steady_time at);

    /// Forgets the confirmation: after a freeze, its age cannot be trusted.
    void forget_confirmation();

    /// Reads an announcement, which is untrusted. Only one of the held version and manifest changes
    /// anything here: its confirmation is taken if it is more recent. The caller decides on others.
    result<head_announcement> receive(std::string_view bytes, steady_time now);

    /// The node's own announcement.
    head_announcement current(steady_time now) const;

    std::optional<milliseconds> confirmation_age(steady_time now) const;

    /// Whether a round of pushes is due; called every tick. There are about log2 N rounds.
    bool take_push_round();

private:
    std::uint64_t version = 0;
    std::string manifest_hash;
    std::optional<steady_time> confirmed;
    std::size_t push_rounds = 0;
};

} // namespace peridot
