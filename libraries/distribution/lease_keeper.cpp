#include "distribution/lease_keeper.h"

#include "core/log.h"
#include "core/random_source.h"
#include "distribution/lease_policy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <vector>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds request_timeout{2000};
constexpr milliseconds longest_backoff{60'000};
constexpr unsigned most_doublings = 6;

steady_time request_deadline() {
    return std::chrono::steady_clock::now() + request_timeout;
}

} // namespace

class lease_keeper::implementation {
public:
    implementation(std::string name, table_access rows, directory_source members)
        : instance(std::move(name)), table(std::move(rows)), directory(std::move(members)) {}

    asio::awaitable<milliseconds> step(wall_time now) {
        result<lease> current = this->held.value_or(lease());
        if (!this->held) {
            current = co_await this->read();
        }
        if (!is_ok(current)) {
            co_return this->back_off();
        }
        this->failures = 0;
        bool const is_own = this->held && !this->is_unsure;
        if (!is_own && !this->may_take(value(current), now)) {
            this->held.reset();
            co_return this->check_delay();
        }
        co_return co_await this->write(next_lease(value(current), this->instance, now), now);
    }

    asio::awaitable<void> run() {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        milliseconds pause = this->check_delay();
        for (;;) {
            timer.expires_after(pause);
            co_await timer.async_wait(asio::use_awaitable);
            pause = co_await this->step(std::chrono::system_clock::now());
        }
    }

    std::vector<lease_work> works;
    std::optional<lease> held;

private:
    asio::awaitable<result<lease>> read() {
        auto const row = co_await this->table.read("lease", request_deadline());
        if (!is_ok(row)) {
            co_return failure(row);
        }
        co_return parse_lease(value(row));
    }

    // A lease of this name that this process does not know of is a former self's, or the answer to
    // its write was lost; the epoch tells.
    bool may_take(lease const& current, wall_time now) const {
        bool const is_own_lost_write = this->is_unsure && current.holder == this->instance &&
                                       current.epoch == this->written_epoch;
        return is_own_lost_write || is_lease_free(current, now);
    }

    asio::awaitable<milliseconds> write(lease next, wall_time now) {
        bool const is_new = !this->held || this->held->epoch != next.epoch;
        table_transaction transaction;
        transaction.conditions.push_back({"lease", next.revision});
        transaction.writes.push_back({"lease", serialize(next)});
        this->written_epoch = next.epoch;
        auto const revision =
            co_await this->table.commit(std::move(transaction), request_deadline());
        if (!is_ok(revision)) {
            co_return this->give_up(failure(revision), now);
        }
        next.revision = value(revision);
        this->held = next;
        this->is_unsure = false;
        if (is_new) {
            log::write(log::level::info, "lease_taken",
                       {{"epoch", static_cast<std::int64_t>(next.epoch)}});
        }
        for (auto const& work : this->works) {
            co_await work(next);
        }
        co_return lease_renewal;
    }

    // After a conflict another instance holds the lease. Without an answer the row has to be read.
    milliseconds give_up(error const& reason, wall_time now) {
        if (reason.code != result_code::platform_conflict) {
            this->is_unsure = this->is_unsure || reason.code == result_code::platform_answer_lost;
            if (this->is_unsure || (this->held && now >= this->held->expires)) {
                this->held.reset();
            }
            return this->back_off();
        }
        if (this->held) {
            log::write(log::level::warning, "lease_lost",
                       {{"epoch", static_cast<std::int64_t>(this->held->epoch)}});
        }
        this->held.reset();
        this->is_unsure = false;
        return this->check_delay();
    }

    milliseconds check_delay() {
        return lease_check_delay(lease_rank(this->directory()->members(), this->instance),
                                 this->random);
    }

    // Full jitter on top of the usual delay; a holder tries again before its lease lapses.
    milliseconds back_off() {
        auto const bound = std::min(
            longest_backoff, lease_renewal * (1U << std::min(this->failures, most_doublings)));
        ++this->failures;
        std::uniform_int_distribution<std::int64_t> jitter(0, this->held ? lease_renewal.count()
                                                                         : bound.count());
        return (this->held || this->is_unsure ? milliseconds(0) : this->check_delay()) +
               milliseconds(jitter(this->random));
    }

    std::string instance;
    table_access table;
    directory_source directory;
    random_source random = make_random_source();
    std::uint64_t written_epoch = 0;
    unsigned failures = 0;
    /// The answer to the last write was lost.
    bool is_unsure = false;
};

lease_keeper::lease_keeper(std::string instance, table_access table, directory_source directory)
    : self(std::make_unique<implementation>(std::move(instance), std::move(table),
                                            std::move(directory))) {}

lease_keeper::~lease_keeper() = default;

void lease_keeper::add_work(lease_work work) {
    this->self->works.push_back(std::move(work));
}

asio::awaitable<void> lease_keeper::run() {
    return this->self->run();
}

asio::awaitable<milliseconds> lease_keeper::step(wall_time now) {
    return this->self->step(now);
}

std::optional<lease> const& lease_keeper::held() const {
    return this->self->held;
}

} // namespace peridot
