#include "platform_service.h"

#include "fault_settings.h"
#include "rate_cap.h"
#include "table_store.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <unordered_map>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

http_response answer(unsigned status, std::string body = {}) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string parameter(boost::urls::url_view const& url, std::string_view name) {
    auto const found = url.params().find(name);
    return found == url.params().end() ? std::string() : std::string((*found).value);
}

std::string etag(std::uint64_t revision) {
    return "\"" + std::to_string(revision) + "\"";
}

bool is_read(http_request const& request) {
    return request.method == "GET" || request.method == "HEAD";
}

} // namespace

class platform_service::implementation {
public:
    explicit implementation(asio::io_context& io) : context(io) {}

    asio::awaitable<http_response> respond(http_request request) {
        if (request.target.starts_with("/admin/")) {
            co_return this->respond_to_admin(request);
        }
        if (this->faults.is_unresponsive) {
            co_await this->wait(std::chrono::hours(1));
        }
        if (this->faults.is_unavailable) {
            ++this->refused;
            co_return answer(503);
        }
        if (!this->admit(request)) {
            ++this->throttled;
            co_return answer(429);
        }
        if (this->faults.latency.count() > 0) {
            co_await this->wait(this->faults.latency);
        }
        if (request.target.starts_with("/objects/")) {
            co_return this->respond_to_object(request);
        }
        if (request.target == "/table/transactions" && request.method == "POST") {
            co_return co_await this->commit(request);
        }
        co_return this->respond_to_read(request);
    }

private:
    asio::awaitable<void> wait(milliseconds duration) {
        asio::steady_timer timer(this->context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    bool admit(http_request const& request) {
        auto const now = std::chrono::steady_clock::now();
        if (is_read(request)) {
            ++this->reads;
            return this->read_cap.try_take(this->faults.reads_per_second, now);
        }
        ++this->writes;
        return this->write_cap.try_take(this->faults.writes_per_second, now);
    }

    http_response respond_to_read(http_request const& request) const {
        auto const url = boost::urls::parse_origin_form(request.target);
        if (url.has_error() || request.method != "GET") {
            return answer(400);
        }
        std::string const path(url->path());
        constexpr std::string_view row_path = "/table/rows/";
        if (path == "/table/rows") {
            auto const limit = std::strtoul(parameter(*url, "limit").c_str(), nullptr, 10);
            return answer(200, json::serialize(this->table.page(parameter(*url, "prefix"),
                                                                parameter(*url, "after"),
                                                                limit == 0 ? 100 : limit)));
        }
        if (!path.starts_with(row_path)) {
            return answer(404);
        }
        std::string const key = path.substr(row_path.size());
        auto const* row = this->table.find(key);
        if (row == nullptr) {
            return answer(404);
        }
        if (request.headers.value("If-None-Match") == etag(row->revision)) {
            return answer(304);
        }
        auto found =
            answer(200, json::serialize(json::object{
                            {"key", key}, {"revision", row->revision}, {"value", row->value}}));
        found.headers.set("ETag", etag(row->revision));
        return found;
    }

    asio::awaitable<http_response> commit(http_request const& request) {
        http_response reply;
        try {
            auto const transaction = json::parse(request.body);
            auto failed = this->table.failed_conditions(transaction.at("conditions").as_array());
            if (!failed.empty()) {
                co_return answer(409,
                                 json::serialize(json::object{{"conflicts", std::move(failed)}}));
            }
            auto const revision = this->table.apply(transaction.at("writes").as_array());
            reply = answer(200, json::serialize(json::object{{"revision", revision}}));
        } catch (std::exception const& malformed) {
            co_return answer(400, json::serialize(json::object{{"error", malformed.what()}}));
        }
        if (this->faults.lost_answers > 0) {
            --this->faults.lost_answers;
            co_await this->wait(std::chrono::hours(1));
        }
        co_return reply;
    }

    http_response respond_to_object(http_request const& request) {
        if (request.method == "PUT") {
            auto const [entry, is_new] = this->objects.try_emplace(request.target, request.body);
            return answer(is_new ? 201 : 412);
        }
        auto const found = this->objects.find(request.target);
        if (found == this->objects.end()) {
            return answer(404);
        }
        return answer(200, this->inject_faults(request.target, found->second));
    }

    std::string inject_faults(std::string_view path, std::string bytes) {
        constexpr std::string_view folder = "/objects/";
        if (!path.substr(folder.size()).starts_with(this->faults.only_objects)) {
            return bytes;
        }
        if (this->faults.truncated_objects > 0) {
            --this->faults.truncated_objects;
            bytes.resize(bytes.size() / 2);
        }
        if (this->faults.corrupted_objects > 0 && !bytes.empty()) {
            --this->faults.corrupted_objects;
            bytes[bytes.size() / 2] ^= 1;
        }
        return bytes;
    }

    http_response respond_to_admin(http_request const& request) {
        if (request.target == "/admin/counters") {
            return answer(200, json::serialize(json::object{{"reads", this->reads},
                                                            {"writes", this->writes},
                                                            {"throttled", this->throttled},
                                                            {"refused", this->refused}}));
        }
        if (request.target == "/admin/faults" && request.method == "PUT") {
            return this->set_faults(request.body);
        }
        constexpr std::string_view save_path = "/admin/save/";
        constexpr std::string_view restore_path = "/admin/restore/";
        if (request.method == "POST" && request.target.starts_with(save_path)) {
            this->table.save(request.target.substr(save_path.size()));
            return answer(204);
        }
        if (request.method == "POST" && request.target.starts_with(restore_path)) {
            return answer(this->table.restore(request.target.substr(restore_path.size())) ? 204
                                                                                          : 404);
        }
        return answer(404);
    }

    // Settings whose keys are absent remain unchanged.
    http_response set_faults(std::string const& body) {
        try {
            auto const parsed = json::parse(body);
            auto const& fields = parsed.as_object();
            auto const number = [&](std::string_view name, std::uint32_t& setting) {
                if (auto const* field = fields.if_contains(name)) {
                    setting = field->to_number<std::uint32_t>();
                }
            };
            auto const flag = [&](std::string_view name, bool& setting) {
                if (auto const* field = fields.if_contains(name)) {
                    setting = field->as_bool();
                }
            };
            auto latency = static_cast<std::uint32_t>(this->faults.latency.count());
            number("latency_ms", latency);
            this->faults.latency = milliseconds(latency);
            flag("outage", this->faults.is_unavailable);
            flag("silent", this->faults.is_unresponsive);
            number("lose_answers", this->faults.lost_answers);
            number("truncate_objects", this->faults.truncated_objects);
            number("corrupt_objects", this->faults.corrupted_objects);
            if (auto const* prefix = fields.if_contains("only_objects")) {
                this->faults.only_objects = prefix->as_string();
            }
            number("reads_per_second", this->faults.reads_per_second);
            number("writes_per_second", this->faults.writes_per_second);
        } catch (std::exception const& malformed) {
            return answer(400, json::serialize(json::object{{"error", malformed.what()}}));
        }
        return answer(204);
    }

    asio::io_context& context;
    table_store table;
    std::unordered_map<std::string, std::string> objects;
    fault_settings faults;
    rate_cap read_cap;
    rate_cap write_cap;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t throttled = 0;
    std::uint64_t refused = 0;
};

platform_service::platform_service(asio::io_context& context)
    : self(std::make_unique<implementation>(context)) {}

platform_service::~platform_service() = default;

asio::awaitable<http_response> platform_service::respond(http_request request) {
    return this->self->respond(std::move(request));
}

} // namespace peridot
