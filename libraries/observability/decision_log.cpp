#include "observability/decision_log.h"

#include <boost/circular_buffer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <mutex>

namespace peridot {

class decision_log::implementation {
public:
    explicit implementation(std::size_t capacity) : entries(std::max<std::size_t>(capacity, 1)) {}

    void record(decision entry) {
        std::lock_guard const guard(this->mutex);
        this->discarded_count += this->entries.full() ? 1 : 0;
        this->entries.push_back(std::move(entry));
    }

    std::vector<decision> find_by_subject(std::string_view subject) const {
        std::lock_guard const guard(this->mutex);
        std::vector<decision> found;
        std::copy_if(this->entries.begin(), this->entries.end(), std::back_inserter(found),
                     [subject](decision const& entry) { return entry.subject == subject; });
        return found;
    }

    std::vector<decision> latest(std::size_t limit) const {
        std::lock_guard const guard(this->mutex);
        auto const count = std::min(limit, this->entries.size());
        return {this->entries.end() - static_cast<std::ptrdiff_t>(count), this->entries.end()};
    }

    std::uint64_t discarded() const {
        std::lock_guard const guard(this->mutex);
        return this->discarded_count;
    }

private:
    std::mutex mutable mutex;
    boost::circular_buffer<decision> entries;
    std::uint64_t discarded_count = 0;
};

decision_log::decision_log(std::size_t capacity)
    : self(std::make_unique<implementation>(capacity)) {}

decision_log::~decision_log() = default;

void decision_log::record(decision entry) {
    this->self->record(std::move(entry));
}

std::vector<decision> decision_log::find_by_subject(std::string_view subject) const {
    return this->self->find_by_subject(subject);
}

std::vector<decision> decision_log::latest(std::size_t limit) const {
    return this->self->latest(limit);
}

std::uint64_t decision_log::discarded() const {
    return this->self->discarded();
}

boost::json::array to_json(std::vector<decision> const& decisions) {
    boost::json::array list;
    for (auto const& entry : decisions) {
        auto const time = std::chrono::duration_cast<milliseconds>(entry.time.time_since_epoch());
        list.push_back(boost::json::object{{"time_ms", time.count()},
                                           {"kind", entry.kind},
                                           {"subject", entry.subject},
                                           {"reason", entry.reason},
                                           {"figures", entry.figures}});
    }
    return list;
}

} // namespace peridot
