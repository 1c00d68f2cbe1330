#include "distribution/peer_service.h"

#include "core/result_code.h"
#include "distribution/distribution_counters.h"
#include "distribution/manifest_difference.h"

#include <boost/json.hpp>

#include <charconv>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view head_path = "/-/head";
constexpr std::string_view manifest_path = "/-/manifests/";
constexpr std::string_view difference_path = "/-/manifest-difference/";
constexpr std::string_view chunk_path = "/-/chunks/";
constexpr std::string_view member_path = "/-/members/";
// Fetchers add jitter.
constexpr std::string_view retry_after_seconds = "1";

http_response refuse(unsigned status, result_code code) {
    http_response answer;
    answer.status = status;
    answer.headers.set("Peridot-Code", std::to_string(static_cast<unsigned>(code)));
    answer.body =
        json::serialize(json::object{{"code", static_cast<unsigned>(code)}, {"name", name(code)}});
    return answer;
}

http_response serve(std::string body) {
    http_response answer;
    answer.body = std::move(body);
    return answer;
}

http_response serve_difference(peer_content const& held, std::string_view path) {
    std::uint64_t from = 0;
    auto const [end, failed] = std::from_chars(path.data(), path.data() + path.size(), from);
    auto const hash = path.substr(static_cast<std::size_t>(end - path.data()));
    auto const base = held.earlier.find(from);
    if (failed != std::errc() || base == held.earlier.end() || hash != "/" + held.manifest_hash) {
        return refuse(404, result_code::chunk_missing);
    }
    return serve(serialize(difference(*base->second, *held.current)));
}

http_response serve_content(peer_content const& held, std::string_view path) {
    if (path.starts_with(chunk_path)) {
        auto const chunk = held.chunks.find(path.substr(chunk_path.size()));
        return chunk == held.chunks.end() ? refuse(404, result_code::chunk_missing)
                                          : serve(*chunk->second);
    }
    if (path.starts_with(manifest_path) &&
        path.substr(manifest_path.size()) == held.manifest_hash && held.current) {
        return serve(serialize(*held.current));
    }
    if (path.starts_with(difference_path)) {
        return serve_difference(held, path.substr(difference_path.size()));
    }
    return refuse(404, result_code::chunk_missing);
}

} // namespace

peer_service::peer_service(rcu_cell<peer_content> const& served, page_source member_pages,
                           distribution_counters& totals)
    : content(&served)
    , pages(std::move(member_pages))
    , counters(&totals)
    , places(std::make_shared<std::atomic<std::size_t>>(0)) {}

asio::awaitable<http_response> peer_service::respond(http_request request) const {
    std::string_view const path = request.target;
    if (request.method != "GET") {
        co_return refuse(405, result_code::request_malformed);
    }
    auto place = this->take_place();
    if (!place) {
        ++this->counters->busy_answers;
        auto answer = refuse(503, result_code::sync_busy);
        answer.headers.set("Retry-After", retry_after_seconds);
        co_return answer;
    }
    http_response answer;
    if (path.starts_with(member_path)) {
        auto const rest = path.substr(member_path.size());
        auto const buckets = bucket_set_from_text(rest.substr(0, rest.find('/')));
        if (!buckets || rest.find('/') == std::string_view::npos) {
            co_return refuse(400, result_code::request_malformed);
        }
        std::string after(rest.substr(rest.find('/') + 1));
        answer.body = co_await this->pages(*buckets, std::move(after));
    } else {
        answer = this->find(path);
    }
    answer.completion_guard = std::move(place);
    ++this->counters->peer_answers;
    this->counters->bytes_in += http_header_bytes + path.size();
    this->counters->bytes_out += http_header_bytes + answer.body.size();
    co_return answer;
}

http_response peer_service::find(std::string_view path) const {
    auto const held = this->content->load();
    if (path == head_path) {
        return serve(json::serialize(
            json::object{{"version", held ? held->version : 0},
                         {"manifest", held ? held->manifest_hash : std::string()}}));
    }
    return held ? serve_content(*held, path) : refuse(404, result_code::no_version_held);
}

// A place is kept until the answer is written; nothing if all are taken.
std::shared_ptr<void const> peer_service::take_place() const {
    if (this->places->fetch_add(1) >= most_answers) {
        this->places->fetch_sub(1);
        return nullptr;
    }
    return {this->places.get(), [shared = this->places](void const*) { shared->fetch_sub(1); }};
}

} // namespace peridot
