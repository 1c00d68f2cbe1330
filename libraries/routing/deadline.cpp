#include "routing/deadline.h"

#include <algorithm>
#include <charconv>

namespace peridot {

result<milliseconds> parse_time_left(std::string_view text) {
    std::int64_t count = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, code] = std::from_chars(text.data(), end, count);
    bool const is_number = code == std::errc() && stop == end && text.front() != '-';
    if (!is_number || count > max_time_left.count()) {
        return error{result_code::request_malformed,
                     "Peridot-Deadline-Ms must be a number of milliseconds from 0 to " +
                         std::to_string(max_time_left.count())};
    }
    return milliseconds(count);
}

std::string format_time_left(nanoseconds left) {
    auto const rounded = std::chrono::floor<milliseconds>(std::max(left, nanoseconds::zero()));
    return std::to_string(std::min(rounded, max_time_left).count());
}

deadline deadline_after(steady_time now, nanoseconds left) {
    return {now + std::clamp<nanoseconds>(left, nanoseconds::zero(), max_time_left)};
}

nanoseconds time_left(deadline const& end, steady_time now) {
    return std::max<nanoseconds>(end.at - now, nanoseconds::zero());
}

nanoseconds time_left_for_next_hop(deadline const& end, steady_time now, nanoseconds margin) {
    return std::max(time_left(end, now) - margin, nanoseconds::zero());
}

bool is_expired(deadline const& end, steady_time now) {
    return now >= end.at;
}

} // namespace peridot
