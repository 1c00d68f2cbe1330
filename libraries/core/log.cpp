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

std::atomic<level> lowest_level{level::info};
std::atomic<bool> is_bounded{false};
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

// Bounds the lines of each event by the second.
class line_budget {
public:
    // Whether a line may be written, and how many were left out before it.
    std::optional<std::uint64_t> take(std::string_view event) {
        auto const now = std::chrono::steady_clock::now();
        std::lock_guard const guard(this->lock);
        auto& used = this->by_event[std::string(event)];
        if (now - used.began >= std::chrono::seconds(1)) {
            used.began = now;
            used.lines = 0;
        }
        if (used.lines >= lines_per_second) {
            ++used.left_out;
            return std::nullopt;
        }
        ++used.lines;
        return std::exchange(used.left_out, 0);
    }

private:
    struct second_of_event {
        std::chrono::steady_clock::time_point began;
        std::uint32_t lines = 0;
        std::uint64_t left_out = 0;
    };
    std::mutex lock;
    std::map<std::string, second_of_event, std::less<>> by_event;
};

line_budget& budget() {
    static line_budget shared;
    return shared;
}

// Lines that standard output did not take.
std::atomic<std::uint64_t> dropped_lines{0};

// Hands lines to standard output without waiting for its reader.
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

void write_to_standard_output() {
    // The flag belongs to the open file, so an ordinary file or a terminal is not affected by it.
    int const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<nonblocking_output>("nonblocking_output");
}

} // namespace

void configure(std::string_view program, level lowest, output where) {
    program_name = program;
    lowest_level = lowest;
    if (where == output::standard_output) {
        is_bounded = true;
        write_to_standard_output();
    }
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(settings);
}

void write(level severity, std::string_view event, std::initializer_list<field> fields) {
    if (severity < lowest_level.load(std::memory_order_relaxed)) {
        return;
    }
    auto const left_out = is_bounded.load(std::memory_order_relaxed)
                              ? budget().take(event)
                              : std::optional(std::uint64_t{0});
    if (!left_out) {
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
    if (*left_out > 0) {
        line["left_out"] = *left_out;
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
