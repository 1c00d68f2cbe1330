#include "load/load_schedule.h"

#include "core/random_source.h"

#include <cmath>
#include <random>

namespace peridot {

namespace {

constexpr double nanoseconds_per_second = 1e9;

/// Computes each start time from its index, so that rounding errors do not accumulate.
class constant_generator {
public:
    explicit constant_generator(constant_arrivals const& process) : rate(process.per_second) {}

    double next_seconds() {
        double const start = static_cast<double>(this->index) / this->rate;
        ++this->index;
        return start;
    }

private:
    double rate;
    std::uint64_t index = 0;
};

class poisson_generator {
public:
    explicit poisson_generator(poisson_arrivals const& process)
        : random(process.seed), interval(process.per_second) {}

    double next_seconds() {
        this->start += this->interval(this->random);
        return this->start;
    }

private:
    random_source random;
    std::exponential_distribution<double> interval;
    double start = 0.0;
};

using generator = std::variant<constant_generator, poisson_generator>;

generator generator_for(constant_arrivals const& process) {
    return constant_generator(process);
}

generator generator_for(poisson_arrivals const& process) {
    return poisson_generator(process);
}

bool has_valid_rate(arrival_process const& process) {
    double const rate = std::visit([](auto const& kind) { return kind.per_second; }, process);
    return std::isfinite(rate) && rate > 0.0;
}

generator make_generator(arrival_process const& process) {
    if (!has_valid_rate(process)) {
        return constant_generator(constant_arrivals{});
    }
    return std::visit([](auto const& kind) { return generator_for(kind); }, process);
}

} // namespace

class load_schedule::implementation {
public:
    implementation(arrival_process const& process, nanoseconds duration)
        : arrivals(make_generator(process))
        , end_seconds(has_valid_rate(process) ? std::chrono::duration<double>(duration).count()
                                              : 0.0) {}

    std::optional<nanoseconds> next() {
        if (this->has_ended) {
            return std::nullopt;
        }
        double const start =
            std::visit([](auto& kind) { return kind.next_seconds(); }, this->arrivals);
        this->has_ended = start >= this->end_seconds;
        if (this->has_ended) {
            return std::nullopt;
        }
        return nanoseconds(std::llround(start * nanoseconds_per_second));
    }

private:
    generator arrivals;
    double end_seconds;
    bool has_ended = false;
};

load_schedule::load_schedule(arrival_process const& process, nanoseconds duration)
    : self(std::make_unique<implementation>(process, duration)) {}

load_schedule::~load_schedule() = default;
load_schedule::load_schedule(load_schedule&&) noexcept = default;
load_schedule& load_schedule::operator=(load_schedule&&) noexcept = default;

std::optional<nanoseconds> load_schedule::next() {
    return this->self->next();
}

} // namespace peridot
