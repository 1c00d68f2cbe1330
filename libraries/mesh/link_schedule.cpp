#include "mesh/link_schedule.h"

#include "mesh/link_request.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace peridot {

namespace {

// A response is large if it occupies the link for at least this long. Shorter ones delay other
// responses by less than the spread of service times.
constexpr milliseconds large_response_time{10};
// The next large response is written this long before the link is free. A process that gets a small
// part of a processor core wakes up late, and the link would be idle until then.
constexpr milliseconds write_ahead{20};
// Fraction of the rate that is left for bodies. Packet headers take about 4 in 100 bytes.
constexpr double body_fraction = 0.96;
constexpr double bytes_per_second_per_megabit = 125'000;
// Weight of the newest size in the moving average of its route.
constexpr double size_weight = 0.1;
// A response that is late in any case is transmitted only if at most this many of its size are
// ahead of it. More would take the place of responses that are in time.
constexpr int max_late_ahead = 2;
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{2000};

milliseconds to_milliseconds(nanoseconds time) {
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

class link_schedule::implementation {
public:
    struct reservation {
        boot_time available;
        std::uint64_t bytes = 0;
    };

    struct waiting_response {
        std::uint64_t id = 0;
        std::uint64_t bytes = 0;
    };

    nanoseconds transmission_time(std::uint64_t bytes) const {
        if (!this->bytes_per_second) {
            return nanoseconds(0);
        }
        std::chrono::duration<double> const time(static_cast<double>(bytes) /
                                                 *this->bytes_per_second);
        return std::chrono::duration_cast<nanoseconds>(time);
    }

    // Time at which the link is free of everything that was written or waits to be written.
    boot_time free_at(boot_time now) const {
        auto free = std::max(now, this->occupied_until);
        for (auto const& response : this->waiting) {
            free += this->transmission_time(response.bytes);
        }
        return free;
    }

    void occupy(std::uint64_t bytes, boot_time now) {
        this->occupied_until = std::max(now, this->occupied_until) + this->transmission_time(bytes);
    }

    std::optional<double> bytes_per_second;
    /// Time until which the link transmits what was written.
    boot_time occupied_until;
    std::unordered_map<std::uint64_t, reservation> reservations;
    std::deque<waiting_response> waiting;
    std::map<std::string, double, std::less<>> sizes;
};

link_schedule::link_schedule(std::optional<double> megabits_per_second)
    : self(std::make_unique<implementation>()) {
    if (megabits_per_second) {
        this->self->bytes_per_second =
            *megabits_per_second * bytes_per_second_per_megabit * body_fraction;
    }
}

link_schedule::~link_schedule() = default;

bool link_schedule::is_large(std::uint64_t bytes) const {
    return this->self->transmission_time(bytes) >= large_response_time;
}

void link_schedule::record_size(std::string const& route, std::uint64_t bytes) {
    auto const size = static_cast<double>(bytes);
    auto const [entry, is_first] = this->self->sizes.try_emplace(route, size);
    if (!is_first) {
        entry->second += (size - entry->second) * size_weight;
    }
}

std::uint64_t link_schedule::expected_bytes(std::string const& route) const {
    auto const found = this->self->sizes.find(route);
    return found == this->self->sizes.end() ? 0 : static_cast<std::uint64_t>(found->second);
}

nanoseconds link_schedule::expected_wait(std::uint64_t bytes, boot_time available,
                                         boot_time now) const {
    // Responses that are available earlier are transmitted first.
    std::vector<implementation::reservation> earlier;
    for (auto const& [id, reserved] : this->self->reservations) {
        if (reserved.available <= available) {
            earlier.push_back(reserved);
        }
    }
    std::ranges::sort(earlier, {}, &implementation::reservation::available);
    auto free = this->self->free_at(now);
    for (auto const& reserved : earlier) {
        free = std::max(free, reserved.available) + this->self->transmission_time(reserved.bytes);
    }
    return std::max(free, available) + this->self->transmission_time(bytes) - now;
}

std::optional<gate_refusal> link_schedule::find_refusal(link_request const& request,
                                                        boot_time now) const {
    auto const bytes = this->expected_bytes(request.route);
    // The size is an estimate, so a free link refuses nothing: an estimate that is too high could
    // otherwise never be corrected.
    bool const is_free = this->self->reservations.empty() && this->backlog(now).count() == 0;
    if (is_free || !this->is_large(bytes)) {
        return std::nullopt;
    }
    auto const transmission = this->self->transmission_time(bytes);
    auto const earliest = request.available + transmission;
    auto const limit = std::min(request.limit, earliest <= request.soft_deadline
                                                   ? request.soft_deadline
                                                   : earliest + transmission * max_late_ahead);
    auto const wait = this->expected_wait(bytes, request.available, now);
    if (now + wait <= limit) {
        return std::nullopt;
    }
    return gate_refusal{
        result_code::request_overloaded,
        std::clamp(to_milliseconds(now + wait - limit), min_retry_after, max_retry_after),
        to_milliseconds(wait)};
}

void link_schedule::start(std::uint64_t id, std::uint64_t bytes, boot_time available) {
    if (this->is_large(bytes)) {
        this->self->reservations[id] = {available, bytes};
    }
}

bool link_schedule::add_response(std::uint64_t id, std::uint64_t bytes, boot_time now) {
    this->self->reservations.erase(id);
    if (!this->is_large(bytes)) {
        this->self->occupy(bytes, now);
        return true;
    }
    this->self->waiting.push_back({id, bytes});
    return this->try_write(id, now);
}

bool link_schedule::try_write(std::uint64_t id, boot_time now) {
    auto& impl = *this->self;
    if (impl.waiting.empty() || impl.waiting.front().id != id || this->next_write_time() > now) {
        return false;
    }
    impl.occupy(impl.waiting.front().bytes, now);
    impl.waiting.pop_front();
    return true;
}

std::optional<std::uint64_t> link_schedule::next_response() const {
    if (this->self->waiting.empty()) {
        return std::nullopt;
    }
    return this->self->waiting.front().id;
}

boot_time link_schedule::next_write_time() const {
    return this->self->occupied_until - write_ahead;
}

void link_schedule::finish(std::uint64_t id) {
    this->self->reservations.erase(id);
    std::erase_if(this->self->waiting, [id](auto const& response) { return response.id == id; });
}

nanoseconds link_schedule::backlog(boot_time now) const {
    return this->self->free_at(now) - now;
}

} // namespace peridot
