#pragma once

#include "membership/swim_protocol.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace peridot::simulation {

/// Members connected by an in-memory network with a manual clock; deterministic for a given seed.
class simulated_fleet {
public:
    /// Returns the delay of a datagram between two members; nothing if it is lost.
    using network_rule =
        std::function<std::optional<milliseconds>(std::size_t from, std::size_t to)>;

    explicit simulated_fleet(std::uint64_t seed, swim_settings const& chosen = swim_settings())
        : settings(chosen), random(seed) {}

    /// Adds a member; returns its number.
    std::size_t add(member_record const& own);
    /// Adds members that already hold each other's records.
    void add_synchronized_members(std::size_t count);
    void set_network(network_rule rule) { this->network = std::move(rule); }
    void set_loss(double share) { this->loss = share; }

    void run(milliseconds time);
    /// Runs until the condition holds, checking every 100 ms; returns the time taken, or nothing if
    /// the limit is reached.
    std::optional<milliseconds> run_until(std::function<bool()> const& condition,
                                          milliseconds limit);

    void kill(std::size_t member) { this->nodes[member].is_dead = true; }
    void freeze(std::size_t member) { this->nodes[member].is_frozen = true; }
    /// Resumes a frozen member: its timers run before it reads the datagrams received meanwhile.
    void thaw(std::size_t member);

    /// Sends the datagrams produced by a member's last input.
    void flush(std::size_t member);

    swim_protocol& at(std::size_t member) { return *this->nodes[member].protocol; }
    std::size_t size() const { return this->nodes.size(); }
    steady_time now() const { return this->clock; }

    /// Returns whether all other running members hold this state for `member`.
    bool all_observe(std::size_t member, liveness state) const;
    /// Returns whether all running members hold the same members and versions.
    bool is_converged() const;
    /// Number of deaths of running members that running members declared or received.
    std::size_t false_deaths() const { return this->false_death_count; }
    std::size_t largest_datagram() const { return this->largest_datagram_bytes; }

    /// Processor time spent in the protocol by all members since measure_processing().
    nanoseconds processing_time() const { return this->processor_time_used; }
    void measure_processing() { this->is_measuring = true; }

private:
    struct node {
        std::unique_ptr<swim_protocol> protocol;
        steady_time next_tick;
        bool is_dead = false;
        bool is_frozen = false;
        std::vector<std::pair<gossip_address, std::string>> unread;
    };
    struct delivery {
        steady_time due;
        std::uint64_t serial = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
        bool operator<(delivery const& other) const {
            return this->due != other.due ? this->due > other.due : this->serial > other.serial;
        }
    };

    void deliver_due();
    /// Runs a protocol input and adds its processor time.
    void run_measured(std::function<void()> const& input);
    void send(std::size_t from, outgoing_datagram& datagram);
    void count_false_deaths(std::size_t member);

    swim_settings settings;
    random_source random;
    steady_time clock{std::chrono::hours(1)};
    std::vector<node> nodes;
    /// The most recently added member at each address.
    std::map<gossip_address, std::size_t> by_address;
    std::map<std::string, std::size_t> by_name;
    std::priority_queue<delivery> queue;
    std::uint64_t serial = 0;
    network_rule network;
    double loss = 0;
    std::size_t false_death_count = 0;
    std::size_t largest_datagram_bytes = 0;
    bool is_measuring = false;
    nanoseconds processor_time_used{0};
};

/// Returns the record of a simulated member.
member_record make_record(std::size_t number);

/// Returns pages with the records of the first `count` members.
std::vector<std::string> make_pages(std::size_t count);

} // namespace peridot::simulation
