#include "node/member_registration.h"

#include "core/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds request_timeout{2000};
constexpr milliseconds first_backoff{100};
constexpr milliseconds longest_backoff{10'000};
// Rows read at the start to find members; gossip brings the others.
constexpr std::size_t seed_sample = 16;

steady_time request_deadline() {
    return std::chrono::steady_clock::now() + request_timeout;
}

} // namespace

member_registration::member_registration(node_settings const& given, table_access rows,
                                         handlers consequences)
    : settings(given)
    , table(std::move(rows))
    , effects(std::move(consequences))
    , process(std::to_string(this->random())) {}

asio::awaitable<void> member_registration::run() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    milliseconds bound = first_backoff;
    bool is_failure_logged = false;
    for (;;) {
        auto const outcome = co_await this->write_row();
        if (outcome == write_outcome::rejected) {
            co_return;
        }
        if (outcome == write_outcome::written) {
            break;
        }
        if (!is_failure_logged) {
            is_failure_logged = true;
            log::write(log::level::warning, "member_row_not_written");
        }
        std::uniform_int_distribution<std::int64_t> jitter(0, bound.count());
        timer.expires_after(milliseconds(jitter(this->random)));
        co_await timer.async_wait(asio::use_awaitable);
        bound = std::min(longest_backoff, bound * 2);
    }
    co_await this->read_seeds();
}

// The write is conditional on the revision that the process found first. So of two processes that
// start together only one writes the row, and a lost answer is settled by reading it again.
asio::awaitable<member_registration::write_outcome> member_registration::write_row() {
    std::string const key = "members/" + this->settings.instance;
    auto const row = co_await this->table.read(key, request_deadline());
    if (!is_ok(row)) {
        co_return write_outcome::failed;
    }
    auto const revision = value(row).revision;
    if (revision != 0 && this->is_own(value(row).value)) {
        co_return this->take(revision);
    }
    if (this->found_revision && *this->found_revision < revision) {
        this->effects.reject({result_code::member_superseded,
                              "another process registered as " + this->settings.instance});
        co_return write_outcome::rejected;
    }
    this->found_revision = revision;
    table_transaction transaction;
    transaction.conditions.push_back({key, revision});
    transaction.writes.push_back({key, this->row_value()});
    auto const written = co_await this->table.commit(std::move(transaction), request_deadline());
    if (!is_ok(written)) {
        co_return write_outcome::failed;
    }
    co_return this->take(value(written));
}

member_registration::write_outcome member_registration::take(std::uint64_t revision) {
    this->effects.set_incarnation(revision);
    return write_outcome::written;
}

bool member_registration::is_own(std::string const& row) const {
    boost::system::error_code failed;
    auto const fields = json::parse(row, failed);
    auto const* writer = fields.is_object() ? fields.as_object().if_contains("process") : nullptr;
    return writer != nullptr && writer->is_string() && writer->as_string() == this->process;
}

std::string member_registration::row_value() const {
    auto const& ports = this->settings.ports;
    return json::serialize(json::object{{"ip", this->settings.ip},
                                        {"calls", ports.calls},
                                        {"peers", ports.peers},
                                        {"gossip", ports.gossip},
                                        {"admin", ports.admin},
                                        {"availability_zone", this->settings.availability_zone},
                                        {"region", this->settings.region},
                                        {"process", this->process}});
}

asio::awaitable<void> member_registration::read_seeds() {
    // The sample begins at a random place, so that the load of joining spreads over the members.
    constexpr std::string_view letters = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::string const place(1, letters[this->random() % letters.size()]);
    for (auto const& after : {"members/" + place, std::string()}) {
        auto const page =
            co_await this->table.list("members/", after, seed_sample, request_deadline());
        if (!is_ok(page)) {
            co_return;
        }
        for (auto const& row : value(page).rows) {
            this->add_seed(row);
        }
    }
}

void member_registration::add_seed(table_row const& row) {
    boost::system::error_code failed;
    auto const fields = json::parse(row.value, failed);
    if (row.key == "members/" + this->settings.instance || failed || !fields.is_object()) {
        return;
    }
    auto const* ip = fields.as_object().if_contains("ip");
    auto const* port = fields.as_object().if_contains("gossip");
    if (ip != nullptr && port != nullptr && ip->is_string() && port->is_int64()) {
        this->effects.add_seed(std::string(ip->as_string()),
                               static_cast<std::uint16_t>(port->as_int64()));
    }
}

} // namespace peridot
