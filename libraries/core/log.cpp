#include "core/log.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <optional>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace peridot::log {

namespace {

std::atomic<level> minimum_level{level::info};
std::atomic<bool> is_rate_limited{false};
std::string program_name = "peridot"; // NOLINT: written once, before any thread starts.

std::string_view level_name(level severity) {
    switch (severity) {
    case level::debug:
        return "debug";
    case level::info:
        return "info";
    case level::warning:
        return "warning";
    case level::error:
        return "error";
    }
    return "error";
}

std::int64_t milliseconds_since_epoch() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Limits the number of lines per event and second.
class line_rate_limiter {
public:
    // Returns the number of lines suppressed since the last written one, or no value if this line
    // is suppressed too.
    std::optional<std::uint64_t> try_acquire(std::string_view event) {
        auto const now = std::chrono::steady_clock::now();
        std::lock_guard const guard(this->lock);
        auto& window = this->windows[std::string(event)];
        if (now - window.start >= std::chrono::seconds(1)) {
            window.start = now;
            window.lines = 0;
        }
        if (window.lines >= max_lines_per_second) {
            ++window.suppressed_lines;
            return std::nullopt;
        }
        ++window.lines;
        return std::exchange(window.suppressed_lines, 0);
    }

private:
    struct event_window {
        std::chrono::steady_clock::time_point start;
        std::uint32_t lines = 0;
        std::uint64_t suppressed_lines = 0;
    };
    std::mutex lock;
    std::map<std::string, event_window, std::less<>> windows;
};

line_rate_limiter& rate_limiter() {
    static line_rate_limiter limiter;
    return limiter;
}

// Lines that could not be written to standard output.
std::atomic<std::uint64_t> dropped_lines{0};

// Writes lines to standard output without blocking on a slow reader.
class nonblocking_output : public el::LogDispatchCallback {
protected:
    void handle(el::LogDispatchData const* data) noexcept override {
        if (data->dispatchAction() != el::base::DispatchAction::NormalLog) {
            return;
        }
        std::string const line(data->logMessage()->message() + "\n");
        if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped_lines;
        }
    }
};

void use_nonblocking_standard_output() {
    // O_NONBLOCK belongs to the open file description; it has no effect on regular files.
    int const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<nonblocking_output>("nonblocking_output");
}

} // namespace

void configure(std::string_view program, level minimum, output destination) {
    program_name = program;
    minimum_level = minimum;
    if (destination == output::standard_output) {
        is_rate_limited = true;
        use_nonblocking_standard_output();
    }
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(settings);
}

void write(level severity, std::string_view event, std::initializer_list<field> fields) {
    if (severity < minimum_level.load(std::memory_order_relaxed)) {
        return;
    }
    auto const suppressed_lines = is_rate_limited.load(std::memory_order_relaxed)
                                      ? rate_limiter().try_acquire(event)
                                      : std::optional(std::uint64_t{0});
    if (!suppressed_lines) {
        return;
    }
    boost::json::object line;
    line["time_ms"] = milliseconds_since_epoch();
    line["level"] = level_name(severity);
    line["program"] = program_name;
    line["event"] = event;
    for (auto const& entry : fields) {
        std::visit([&](auto const& item) { line[entry.first] = item; }, entry.second);
    }
    if (*suppressed_lines > 0) {
        line["left_out"] = *suppressed_lines;
    }
    if (auto const dropped = dropped_lines.exchange(0); dropped > 0) {
        line["dropped_lines"] = dropped;
    }
    std::string const text = boost::json::serialize(line);
    switch (severity) {
    case level::debug:
    case level::info:
        LOG(INFO) << text;
        break;
    case level::warning:
        LOG(WARNING) << text;
        break;
    case level::error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace peridot::log
