#pragma once

#include "configuration/manifest.h"
#include "distribution/distribution_sources.h"
#include "distribution/table_access.h"

#include <map>
#include <string>

namespace peridot::simulation {

/// A platform in memory: a table with conditional transactions, an object store, and faults.
class fake_platform {
public:
    /// Accepts a version with one service and one workspace, whose chunks depend on the text.
    void accept(std::uint64_t version, std::string const& text);

    /// The manifest of a version, without accepting it.
    static manifest make_manifest(std::uint64_t version, std::string const& text);

    table_access access();
    boost::asio::awaitable<result<std::optional<table_row>>> read_head(std::uint64_t known);
    boost::asio::awaitable<result<std::string>> read_object(std::string key);

    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;
    bool is_out = false;
    /// Commits that take effect although their answer is lost.
    int lost_answers = 0;
    int reads = 0;
    int head_reads = 0;
    int object_reads = 0;
    std::uint64_t last_revision = 0;

private:
    result<std::uint64_t> commit(table_transaction const& transaction);
    result<table_page> list(std::string const& prefix, std::string const& after, std::size_t limit);
};

} // namespace peridot::simulation
