#pragma once

#include "core/rcu_cell.h"
#include "distribution/peer_content.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "membership/bucket_set.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace peridot {

struct distribution_counters;

/// Answers peers that fetch bulk state: paths that begin with "/-/". Called from every worker.
class peer_service {
public:
    /// Gives a page of the member list; it runs on the caller's thread and has to change to the
    /// control thread itself.
    using page_source =
        std::function<boost::asio::awaitable<std::string>(bucket_set buckets, std::string after)>;

    /// Answers that may be on their way at one time, over all workers.
    static constexpr std::size_t most_answers = 16;

    peer_service(rcu_cell<peer_content> const& content, page_source pages,
                 distribution_counters& counters);

    static bool handles(std::string_view path) { return path.starts_with("/-/"); }

    boost::asio::awaitable<http_response> respond(http_request request) const;

private:
    http_response find(std::string_view path) const;
    std::shared_ptr<void const> take_place() const;

    rcu_cell<peer_content> const* content;
    page_source pages;
    distribution_counters* counters;
    std::shared_ptr<std::atomic<std::size_t>> places;
};

} // namespace peridot
