#pragma once

#include "core/socket_address.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridot::processes {

/// The platform's store on a thread of the test process: rows with revisions, conditional
/// transactions and a feed that waits for changes. It can come back from a copy of its rows, which
/// raises the era that it names in each response.
class store_standin {
public:
    explicit store_standin(std::string const& ip);
    ~store_standin();
    store_standin(store_standin const&) = delete;
    store_standin& operator=(store_standin const&) = delete;
    store_standin(store_standin&&) = delete;
    store_standin& operator=(store_standin&&) = delete;

    socket_address address() const;
    /// A second address at which the same store responds, whether or not the first one is silent.
    socket_address second_address() const;

    /// Writes a row as the operator does.
    void put(std::string const& table, std::string const& key, std::string const& value);
    /// Removes a row as the operator does.
    void remove(std::string const& table, std::string const& key);
    /// Returns the row's value; empty if the row does not exist.
    std::string value(std::string const& table, std::string const& key) const;
    /// Returns the row's revision; zero if the row does not exist.
    std::uint64_t revision(std::string const& table, std::string const& key) const;
    /// Number of transactions that nodes have requested, and of rows that these have written.
    int requested_transactions() const;
    int written_rows() const;
    /// Number of calls to the feed that wait for a change.
    int waiting_feeds() const;
    /// While set, the first address accepts connections and calls but sends no responses, including
    /// those to pending calls.
    void set_silent(bool is_silent);
    /// While set, every call is answered with 503.
    void set_unavailable(bool is_unavailable);
    /// Delays each response.
    void set_delay(milliseconds delay);
    /// While set, the body of each response is unreadable.
    void set_garbling(bool is_garbling);
    /// While set, transactions wait: they are performed and answered once it is lifted, if the
    /// caller still waits and their condition still holds.
    void set_holding_writes(bool is_holding);
    /// Returns the values that waiting transactions would give to a row.
    std::vector<std::string> held_values(std::string const& table, std::string const& key) const;
    /// Processes requests but closes the connection instead of responding.
    void set_losing_answers(bool is_losing);

    /// A copy of the rows and of the revision, as of one moment.
    class copy;
    std::shared_ptr<copy const> make_copy() const;
    /// Goes back to a copy and enters the next era: what was written since is lost, and revisions
    /// are given out again. Pending calls to the feed lose their connections. The store's clock
    /// goes back by the given time.
    void restore(copy const& earlier, milliseconds clock_step = milliseconds(0));

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::processes
