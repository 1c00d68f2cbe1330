#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace peridot {

/// Why a node has to confirm its version before it takes new work.
enum class confirmation_reason : std::uint8_t { start, freeze };

/// Whether every peer that is known has been asked.
enum class peers_asked : std::uint8_t { some, all };

/// Decides whether the held version is confirmed. The platform alone suffices. After a freeze one
/// peer does; at the start, when the platform is out, peers of two availability zones do, or all
/// that can be reached.
class version_confirmation {
public:
    explicit version_confirmation(confirmation_reason cause) : reason(cause) {}

    void record_platform(std::uint64_t version);
    /// The version that the platform names could not be loaded; peers decide until it names
    /// another.
    void record_unusable(std::uint64_t version);
    void record_platform_failure() { this->is_platform_out = true; }
    void record_peer(std::string_view availability_zone, std::uint64_t version);

    bool is_confirmed(std::uint64_t held, peers_asked asked) const;

    /// Whether peers are worth asking.
    bool wants_peers() const;

    /// Availability zones of the peers that answered.
    std::size_t zones() const { return this->answered_zones.size(); }
    bool is_by_platform() const { return this->platform_version.has_value(); }
    confirmation_reason cause() const { return this->reason; }

private:
    confirmation_reason reason;
    std::optional<std::uint64_t> platform_version;
    std::optional<std::uint64_t> unusable_version;
    bool is_platform_out = false;
    std::uint64_t newest_of_peers = 0;
    std::set<std::string, std::less<>> answered_zones;
};

} // namespace peridot
