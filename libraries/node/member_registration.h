#pragma once

#include "core/random_source.h"
#include "core/result.h"
#include "distribution/table_access.h"
#include "settings/node_settings.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace peridot {

/// Writes the node's member row at its start, takes the row's revision as the incarnation, and
/// joins through a bounded sample of the other rows. Until the platform has taken the row the node
/// joins through the settings' seeds, without an incarnation of its own.
class member_registration {
public:
    /// What registration does to membership; tests put fakes here.
    struct handlers {
        std::function<void(std::uint64_t incarnation)> set_incarnation;
        std::function<void(std::string const& ip, std::uint16_t port)> add_seed;
        /// Another process wrote the row of this instance in the meantime.
        std::function<void(error const& reason)> reject;
    };

    member_registration(node_settings const& settings, table_access table, handlers effects);

    void set_ports(node_ports const& ports) { this->settings.ports = ports; }

    /// Tries until the platform has taken the row, with backoff and full jitter.
    boost::asio::awaitable<void> run();

private:
    enum class write_outcome : std::uint8_t { written, rejected, failed };

    boost::asio::awaitable<write_outcome> write_row();
    write_outcome take(std::uint64_t revision);
    bool is_own(std::string const& row) const;
    std::string row_value() const;
    boost::asio::awaitable<void> read_seeds();
    void add_seed(table_row const& row);

    node_settings settings;
    table_access table;
    handlers effects;
    random_source random = make_random_source();
    /// Tells this process from another one of the same instance name.
    std::string process;
    /// The row's revision at the first read; the write is conditional on it.
    std::optional<std::uint64_t> found_revision;
};

} // namespace peridot
