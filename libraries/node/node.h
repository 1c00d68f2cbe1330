#pragma once

#include "core/result.h"

#include <boost/json/object.hpp>

#include <memory>

namespace peridot {

struct node_settings;

/// A whole node: worker threads for requests and the control agent.
class node {
public:
    /// Binds every address; nothing is served yet.
    static result<std::unique_ptr<node>> create(node_settings const& settings);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// The addresses that the node is bound to, for the line that it prints at its start.
    boost::json::object addresses() const;

    /// Runs the control agent on the calling thread until a planned stop has ended; false if
    /// another process took over the instance name.
    bool run();

private:
    class implementation;
    explicit node(std::unique_ptr<implementation> made);
    std::unique_ptr<implementation> self;
};

} // namespace peridot
