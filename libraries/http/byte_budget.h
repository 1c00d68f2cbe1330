#pragma once

#include "core/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

namespace detail {
class byte_account;
}

/// The account of the bytes that a process holds for its clients. Copies share the account.
///
/// Answers clients that send many large bodies at once and stop short of their end: without a
/// bound, ten of them took 609 MB. Bytes are drawn through byte_draw. At the bound, bodies that
/// have made no progress are evicted first, the longest stalled one before the others, and then
/// the largest body of the address that holds the most, if that is not the address which asks. The
/// last eighth of the bound is left for small bodies, so that large ones cannot keep ordinary
/// requests out. Not thread-safe, except for used().
class byte_budget {
public:
    /// Called with the client's address for each body that is refused or evicted.
    using refusal_handler = std::function<void(std::string const& address)>;

    /// Without a bound, draws are only counted.
    explicit byte_budget(std::optional<std::size_t> bound = std::nullopt);

    bool is_bounded() const;
    /// Returns the number of bytes that are drawn. Thread-safe.
    std::size_t used() const;
    void set_refusal_handler(refusal_handler handler);
    /// Reports a body that could not be drawn and is refused.
    void report_refusal(std::string const& address) const;

private:
    friend class byte_draw;
    std::shared_ptr<detail::byte_account> account;
};

} // namespace peridot
