#include "observability/span_buffer.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>

namespace peridot {

namespace {

/// The queue copies its elements, so it stores owning pointers instead of spans.
using ring = boost::lockfree::spsc_queue<span*>;

} // namespace

class span_buffer::implementation {
public:
    implementation(std::size_t workers, std::size_t spans_per_worker) {
        for (std::size_t worker = 0; worker < workers; ++worker) {
            this->rings.push_back(std::make_unique<ring>(spans_per_worker));
        }
    }

    ~implementation() {
        for (auto const& each : this->rings) {
            each->consume_all([](span* stored) { delete stored; });
        }
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    void record(std::size_t worker, span finished) {
        if (!finished.context.sampled) {
            return;
        }
        if (worker < this->rings.size() && this->rings[worker]->write_available() > 0) {
            auto stored = std::make_unique<span>(std::move(finished));
            if (this->rings[worker]->push(stored.get())) {
                stored.release(); // NOLINT(bugprone-unused-return-value): ownership passed to the
                                  // ring.
                return;
            }
        }
        this->dropped_count.fetch_add(1, std::memory_order_relaxed);
    }

    std::vector<span> drain(std::size_t limit) {
        std::vector<span> drained;
        for (auto const& each : this->rings) {
            span* next = nullptr;
            while (drained.size() < limit && each->pop(next)) {
                std::unique_ptr<span> const owner(next);
                drained.push_back(std::move(*owner));
            }
        }
        return drained;
    }

    std::uint64_t dropped() const { return this->dropped_count.load(std::memory_order_relaxed); }

private:
    std::vector<std::unique_ptr<ring>> rings;
    std::atomic<std::uint64_t> dropped_count{0};
};

span_buffer::span_buffer(std::size_t workers, std::size_t spans_per_worker)
    : self(std::make_unique<implementation>(workers, spans_per_worker)) {}

span_buffer::~span_buffer() = default;

void span_buffer::record(std::size_t worker, span finished) {
    this->self->record(worker, std::move(finished));
}

std::vector<span> span_buffer::drain(std::size_t limit) {
    return this->self->drain(limit);
}

std::uint64_t span_buffer::dropped() const {
    return this->self->dropped();
}

} // namespace peridot
