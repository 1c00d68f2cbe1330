#include "move_times.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace peridot {

namespace {

constexpr double percent = 100;
// Exceeds the duration of any move and prevents overflow in the arithmetic of durations.
constexpr std::int64_t maximum_milliseconds = std::int64_t{400} * 24 * 3600 * 1000;

error invalid_text(std::string const& kind, std::string_view text) {
    return {result_code::usage, "\"" + std::string(text) + "\" is not a valid " + kind};
}

} // namespace

result<milliseconds> parse_duration(std::string_view text) {
    struct unit {
        std::string_view name;
        std::int64_t length;
    };
    constexpr std::array<unit, 5> units = {
        {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}}};
    std::int64_t number = 0;
    auto const [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    auto const name = text.substr(static_cast<std::size_t>(end - text.data()));
    auto const found = std::find_if(units.begin(), units.end(), [name](unit const& candidate) {
        return candidate.name == name;
    });
    if (failed != std::errc{} || number < 0 || found == units.end() ||
        number > maximum_milliseconds / found->length) {
        return invalid_text("duration such as 90s, 15m, 2h or 500ms", text);
    }
    return milliseconds(number * found->length);
}

result<wall_time> parse_time(std::string const& text, wall_time now) {
    if (text.starts_with('+')) {
        auto const duration = parse_duration(std::string_view(text).substr(1));
        if (!is_ok(duration)) {
            return failure(duration);
        }
        return now + value(duration);
    }
    std::tm fields{};
    std::istringstream stream(text);
    stream >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%SZ");
    if (stream.fail() || stream.peek() != std::istringstream::traits_type::eof()) {
        return invalid_text("time such as +15m or 2026-12-04T18:00:00Z", text);
    }
    return std::chrono::system_clock::from_time_t(timegm(&fields));
}

result<std::vector<ramp_step>> parse_ramp(std::string const& text, wall_time start,
                                          wall_time done_by) {
    std::vector<ramp_step> ramp;
    auto const duration = std::chrono::duration<double>(done_by - start);
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        std::istringstream fields(part);
        double share = 0;
        double when = 0;
        char at = 0;
        fields >> share >> at >> when;
        if (fields.fail() || at != '@' || fields.peek() != std::istringstream::traits_type::eof() ||
            !(when >= 0 && when <= percent)) {
            return invalid_text("ramp such as 1@0,10@30,100@70", text);
        }
        auto const since = std::chrono::duration_cast<milliseconds>(duration * (when / percent));
        ramp.push_back({share / percent, start + since});
    }
    return ramp;
}

std::string format_time(std::int64_t milliseconds_since_epoch) {
    std::time_t const time = milliseconds_since_epoch / 1000;
    std::tm fields{};
    gmtime_r(&time, &fields);
    std::ostringstream text;
    text << std::put_time(&fields, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

} // namespace peridot
