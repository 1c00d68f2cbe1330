#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peridot::processes {

/// A program that a test started. The destructor kills it by its process id; the kernel kills it if
/// the test program ends without running the destructor.
class child_process {
public:
    /// Starts the program and redirects its standard output and error to files in the directory.
    child_process(std::string name, std::vector<std::string> const& command,
                  std::filesystem::path const& directory);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    std::string const& name() const { return this->label; }
    void send(int signal) const;
    /// Sends SIGKILL and waits for the process to end.
    void end();
    /// Waits for the process to end. Returns its exit code, or 128 plus the number of the signal
    /// that ended it; none if it is still running after the wait limit.
    std::optional<int> exit_code();
    bool has_ended();
    /// Waits for the first line of the output and returns it; empty if the process prints none.
    std::string first_line();
    std::string output() const;
    /// Largest resident memory of the running process in bytes; 0 if it has ended.
    std::size_t peak_memory_bytes() const;
    /// Number of open file descriptors of the running process; 0 if it has ended.
    std::size_t open_descriptors() const;
    std::string log() const;

private:
    std::string label;
    std::filesystem::path output_file;
    std::filesystem::path log_file;
    pid_t id = -1;
    std::optional<int> ended;
};

} // namespace peridot::processes
