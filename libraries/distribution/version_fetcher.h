#pragma once

#include "configuration/configuration_scope.h"
#include "configuration/snapshot_store.h"
#include "core/random_source.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "distribution/distribution_sources.h"
#include "distribution/peer_content.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

/// Whether others are likely to read the same objects at this moment.
enum class store_access : std::uint8_t { at_once, jittered };

/// A version to fetch, and where from.
struct fetch_request {
    std::uint64_t version = 0;
    std::string manifest_hash;
    snapshot_store::snapshot_pointer held;
    /// Peers in the order in which they are asked.
    std::vector<socket_address> peers;
    store_access access = store_access::jittered;
};

/// Fetches what a version needs and the node lacks, verifies it and builds the snapshot: from the
/// peers first, then from the object store. Used from one thread, one fetch at a time.
class version_fetcher {
public:
    using refusal_handler = std::function<void(error const& reason)>;

    /// The counters must outlive the fetcher. Refusals of single answers go to the handler; they
    /// do not end a fetch while other sources remain.
    version_fetcher(configuration_scope scope, distribution_sources sources,
                    distribution_counters& counters, random_source random,
                    refusal_handler on_refusal);
    ~version_fetcher();
    version_fetcher(version_fetcher const&) = delete;
    version_fetcher& operator=(version_fetcher const&) = delete;
    version_fetcher(version_fetcher&&) = delete;
    version_fetcher& operator=(version_fetcher&&) = delete;

    /// The whole version, or the reason why no source gave it. Nothing is applied.
    boost::asio::awaitable<result<snapshot_store::snapshot_pointer>> fetch(fetch_request request,
                                                                           steady_time deadline);

    /// Keeps only the chunks that this version needs, and gives them.
    chunk_map const& retain(configuration_snapshot const& held);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
