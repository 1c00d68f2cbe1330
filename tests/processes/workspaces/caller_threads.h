#pragma once

#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridot::processes {

/// Callers that send requests one after the other, each on its own thread and at its own node,
/// until the object ends.
class caller_threads {
public:
    caller_threads() = default;
    ~caller_threads() { this->stop(); }
    caller_threads(caller_threads const&) = delete;
    caller_threads& operator=(caller_threads const&) = delete;
    caller_threads(caller_threads&&) = delete;
    caller_threads& operator=(caller_threads&&) = delete;

    void add(mesh_instance const& node, std::string const& key) {
        auto const address = sidecar_fleet::calls_address(node);
        this->threads.emplace_back([this, address, key, name = node.name] {
            http_caller connection;
            for (int attempt = 0; !this->is_stopping; ++attempt) {
                auto request =
                    sidecar_fleet::make_request("/get/1", name + "-" + std::to_string(attempt));
                if (!key.empty()) {
                    request.headers.set("Authorization", "Bearer " + key);
                }
                this->record(connection.call(address, std::move(request)));
                std::this_thread::sleep_for(pause);
            }
        });
    }

    void stop() {
        this->is_stopping = true;
        for (auto& each : this->threads) {
            each.join();
        }
        this->threads.clear();
    }

    /// Number of answers with the status; 0 stands for no answer.
    std::size_t count(unsigned status) const {
        std::lock_guard const guard(this->lock);
        auto const found = this->answers.find(status);
        return found == this->answers.end() ? 0 : found->second;
    }

    /// Number of answers 429 that do not say when to return.
    std::size_t count_without_time() const {
        std::lock_guard const guard(this->lock);
        return this->without_time;
    }

private:
    static constexpr milliseconds pause{4};

    void record(std::optional<http_response> const& answer) {
        std::lock_guard const guard(this->lock);
        ++this->answers[answer ? answer->status : 0];
        if (answer && answer->status == 429 && answer->headers.value("Retry-After").empty()) {
            ++this->without_time;
        }
    }

    std::atomic<bool> is_stopping{false};
    mutable std::mutex lock;
    std::map<unsigned, std::size_t> answers;
    std::size_t without_time = 0;
    std::vector<std::thread> threads;
};

} // namespace peridot::processes
