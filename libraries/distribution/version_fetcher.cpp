#include "distribution/version_fetcher.h"

#include "core/digest.h"
#include "distribution/distribution_counters.h"
#include "distribution/manifest_difference.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator&&;

constexpr milliseconds peer_timeout{1000};
constexpr milliseconds store_timeout{3000};
// Before a read of an object that others are likely to read too; an operator's change is in force
// within a second in spite of it.
constexpr milliseconds store_jitter{150};
constexpr unsigned busy_rounds = 3;

asio::awaitable<void> wait(milliseconds duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

steady_time earlier(steady_time deadline, milliseconds timeout) {
    return std::min(deadline, std::chrono::steady_clock::now() + timeout);
}

// The chunks that one fetch still has to load.
struct chunk_queue {
    std::vector<std::string> hashes;
    error fault;
};

} // namespace

class version_fetcher::implementation {
public:
    implementation(configuration_scope covered, distribution_sources from,
                   distribution_counters& totals, random_source source, refusal_handler handler)
        : scope(std::move(covered))
        , sources(std::move(from))
        , counters(&totals)
        , random(source)
        , on_refusal(std::move(handler)) {}

    asio::awaitable<result<snapshot_store::snapshot_pointer>> fetch(fetch_request request,
                                                                    steady_time deadline) {
        auto content = co_await this->load_manifest(request, deadline);
        if (!is_ok(content)) {
            co_return failure(content);
        }
        chunk_queue queue;
        for (auto const& hash :
             configuration_snapshot::required_chunks(value(content), this->scope)) {
            bool const is_queued =
                std::find(queue.hashes.begin(), queue.hashes.end(), hash) != queue.hashes.end();
            if (!this->chunks.contains(hash) && !is_queued) {
                queue.hashes.push_back(hash);
            }
        }
        co_await (this->drain(queue, request, deadline) && this->drain(queue, request, deadline) &&
                  this->drain(queue, request, deadline) && this->drain(queue, request, deadline));
        if (queue.fault.code != result_code::ok) {
            co_return queue.fault;
        }
        auto const find_chunk = [this](std::string const& hash) {
            auto const found = this->chunks.find(hash);
            return found == this->chunks.end() ? std::string() : *found->second;
        };
        auto built = configuration_snapshot::build(value(std::move(content)), request.manifest_hash,
                                                   this->scope, find_chunk);
        if (!is_ok(built)) {
            co_return failure(built);
        }
        co_return value(std::move(built));
    }

    chunk_map const& retain(configuration_snapshot const& held) {
        auto needed = configuration_snapshot::required_chunks(held.manifest_content(), this->scope);
        std::sort(needed.begin(), needed.end());
        std::erase_if(this->chunks, [&](auto const& entry) {
            return !std::binary_search(needed.begin(), needed.end(), entry.first);
        });
        return this->chunks;
    }

private:
    asio::awaitable<result<manifest>> load_manifest(fetch_request const& request,
                                                    steady_time deadline) {
        if (request.held && !request.peers.empty()) {
            auto changed = co_await this->load_difference(request, deadline);
            if (is_ok(changed)) {
                co_return changed;
            }
        }
        auto text = co_await this->load("manifests", request.manifest_hash, request, deadline);
        if (!is_ok(text)) {
            co_return failure(text);
        }
        co_return this->check_version(parse_manifest(value(text)), request);
    }

    static result<manifest> check_version(result<manifest> read, fetch_request const& request) {
        if (is_ok(read) && value(read).version != request.version) {
            return error{result_code::manifest_malformed,
                         "the manifest is of version " + std::to_string(value(read).version)};
        }
        return read;
    }

    // Only the peer that announced the version is asked: it certainly has the manifest.
    asio::awaitable<result<manifest>> load_difference(fetch_request const& request,
                                                      steady_time deadline) {
        auto const path = "/-/manifest-difference/" + std::to_string(request.held->version()) +
                          "/" + request.manifest_hash;
        auto answer = co_await this->ask(request.peers.front(), path, deadline);
        auto const* text = std::get_if<std::string>(&answer);
        if (text == nullptr) {
            co_return error{result_code::chunk_missing, "no difference"};
        }
        auto const change = parse_manifest_difference(*text);
        if (!is_ok(change)) {
            this->on_refusal(failure(change));
            co_return failure(change);
        }
        auto next = apply(request.held->manifest_content(), value(change));
        if (sha256_hex(serialize(next)) != request.manifest_hash) {
            error const mismatch{result_code::hash_mismatch,
                                 "the difference to manifest " + request.manifest_hash};
            this->on_refusal(mismatch);
            co_return mismatch;
        }
        co_return this->check_version(std::move(next), request);
    }

    asio::awaitable<void> drain(chunk_queue& queue, fetch_request const& request,
                                steady_time deadline) {
        while (!queue.hashes.empty() && queue.fault.code == result_code::ok) {
            auto const hash = std::move(queue.hashes.back());
            queue.hashes.pop_back();
            auto bytes = co_await this->load("chunks", hash, request, deadline);
            if (!is_ok(bytes)) {
                queue.fault = failure(bytes);
                co_return;
            }
            this->chunks[hash] = std::make_shared<std::string const>(value(std::move(bytes)));
        }
    }

    // The verified bytes of an object, from the first source that has them.
    asio::awaitable<result<std::string>> load(std::string folder, std::string hash,
                                              fetch_request const& request, steady_time deadline) {
        std::string path = "/-/";
        path.append(folder).append("/").append(hash);
        for (unsigned round = 0; round < busy_rounds; ++round) {
            milliseconds busy_delay{0};
            for (auto const& peer : request.peers) {
                auto answer = co_await this->ask(peer, path, deadline);
                if (auto const* busy = std::get_if<peer_busy>(&answer)) {
                    busy_delay = std::max(busy_delay, busy->delay);
                }
                if (auto* bytes = std::get_if<std::string>(&answer)) {
                    if (this->verify(*bytes, folder, hash)) {
                        co_return std::move(*bytes);
                    }
                }
            }
            auto const pause = this->with_jitter(busy_delay);
            if (busy_delay.count() == 0 || std::chrono::steady_clock::now() + pause > deadline) {
                break;
            }
            co_await wait(pause);
        }
        co_return co_await this->load_from_store(folder, hash, request.access, deadline);
    }

    asio::awaitable<result<std::string>> load_from_store(std::string folder, std::string hash,
                                                         store_access access,
                                                         steady_time deadline) {
        if (access == store_access::jittered) {
            std::uniform_int_distribution<std::int64_t> jitter(0, store_jitter.count());
            co_await wait(milliseconds(jitter(this->random)));
        }
        ++this->counters->object_fetches;
        auto bytes = co_await this->sources.read_object(folder + "/" + hash,
                                                        earlier(deadline, store_timeout));
        if (is_ok(bytes) && !this->verify(value(bytes), folder, hash)) {
            co_return error{result_code::hash_mismatch, folder + "/" + hash};
        }
        co_return bytes;
    }

    bool verify(std::string const& bytes, std::string const& folder, std::string const& hash) {
        if (sha256_hex(bytes) == hash) {
            return true;
        }
        this->on_refusal({result_code::hash_mismatch, folder + "/" + hash});
        return false;
    }

    asio::awaitable<peer_answer> ask(socket_address peer, std::string path, steady_time deadline) {
        ++this->counters->peer_fetches;
        auto answer = co_await this->sources.ask_peer(std::move(peer), std::move(path),
                                                      earlier(deadline, peer_timeout));
        if (std::holds_alternative<error>(answer)) {
            ++this->counters->peer_failures;
        }
        co_return answer;
    }

    // Between the delay and twice the delay, so that those who were refused do not return together.
    milliseconds with_jitter(milliseconds delay) {
        std::uniform_int_distribution<std::int64_t> jitter(0, delay.count());
        return delay + milliseconds(jitter(this->random));
    }

    configuration_scope scope;
    distribution_sources sources;
    distribution_counters* counters;
    random_source random;
    refusal_handler on_refusal;
    /// Verified chunks of the held version and of fetches that are not complete.
    chunk_map chunks;
};

version_fetcher::version_fetcher(configuration_scope scope, distribution_sources sources,
                                 distribution_counters& counters, random_source random,
                                 refusal_handler on_refusal)
    : self(std::make_unique<implementation>(std::move(scope), std::move(sources), counters, random,
                                            std::move(on_refusal))) {}

version_fetcher::~version_fetcher() = default;

asio::awaitable<result<snapshot_store::snapshot_pointer>>
version_fetcher::fetch(fetch_request request, steady_time deadline) {
    return this->self->fetch(std::move(request), deadline);
}

chunk_map const& version_fetcher::retain(configuration_snapshot const& held) {
    return this->self->retain(held);
}

} // namespace peridot
