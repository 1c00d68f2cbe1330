#include "processes/support/child_process.h"

#include "processes/support/wait_until.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace peridot::processes {

namespace {

constexpr int signal_exit_base = 128;
constexpr int exit_not_started = 127;

std::string read_file(std::filesystem::path const& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Whether every thread of a process is stopped. In /proc/.../stat, the state follows the program's
// name, which is in parentheses.
bool is_stopped(pid_t id) {
    std::error_code failed;
    auto const tasks = std::filesystem::path("/proc") / std::to_string(id) / "task";
    for (auto const& task : std::filesystem::directory_iterator(tasks, failed)) {
        auto const line = read_file(task.path() / "stat");
        auto const name_end = line.rfind(") ");
        if (name_end == std::string::npos || line[name_end + 2] != 'T') {
            return false;
        }
    }
    return !failed;
}

int open_for_output(std::filesystem::path const& path) {
    return ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
}

// Runs in the child between fork and exec, so it only makes async-signal-safe system calls.
[[noreturn]] void execute(char* const* arguments, int output, int log, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(exit_not_started);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A program that held the listening socket of a target in the test process would keep its port
    // open after the target has ended.
    ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
    ::execv(arguments[0], arguments);
    ::_exit(exit_not_started);
}

} // namespace

child_process::child_process(std::string name, std::vector<std::string> const& command,
                             std::filesystem::path const& directory)
    : label(std::move(name))
    , output_file(directory / (this->label + ".out"))
    , log_file(directory / (this->label + ".log")) {
    std::filesystem::remove(this->output_file);
    std::vector<std::string> words = command;
    std::vector<char*> arguments;
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    int const output = open_for_output(this->output_file);
    int const log = open_for_output(this->log_file);
    pid_t const parent = ::getpid();
    this->id = ::fork();
    if (this->id == 0) {
        execute(arguments.data(), output, log, parent);
    }
    ::close(output);
    ::close(log);
}

child_process::~child_process() {
    this->end();
}

void child_process::send(int signal) const {
    if (this->id > 0 && !this->ended) {
        ::kill(this->id, signal);
    }
    if (signal == SIGSTOP) {
        // kill() returns before the threads have stopped. On a busy machine, they could still serve
        // a request that a test sends to the frozen process.
        (void)wait_until([this] { return is_stopped(this->id); });
    }
}

void child_process::end() {
    this->send(SIGKILL);
    (void)this->exit_code();
}

bool child_process::has_ended() {
    if (this->ended || this->id <= 0) {
        return true;
    }
    int state = 0;
    if (::waitpid(this->id, &state, WNOHANG) == this->id) {
        this->ended =
            WIFEXITED(state) ? WEXITSTATUS(state) : signal_exit_base + WTERMSIG(state); // NOLINT
    }
    return this->ended.has_value();
}

std::optional<int> child_process::exit_code() {
    (void)wait_until([this] { return this->has_ended(); });
    return this->ended;
}

std::string child_process::first_line() {
    (void)wait_until(
        [this] { return this->output().find('\n') != std::string::npos || this->has_ended(); });
    auto const text = this->output();
    return text.substr(0, text.find('\n'));
}

std::string child_process::output() const {
    return read_file(this->output_file);
}

std::size_t child_process::peak_memory_bytes() const {
    std::ifstream status(std::filesystem::path("/proc") / std::to_string(this->id) / "status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

std::size_t child_process::open_descriptors() const {
    std::error_code failed;
    auto const directory = std::filesystem::path("/proc") / std::to_string(this->id) / "fd";
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry(directory, failed), end; !failed && entry != end;
         entry.increment(failed)) {
        ++count;
    }
    return count;
}

std::string child_process::log() const {
    return read_file(this->log_file);
}

} // namespace peridot::processes
