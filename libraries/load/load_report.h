#pragma once

#include "core/time.h"
#include "load/latency_summary.h"
#include "load/load_sample.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace peridot {

/// The result of a load run. Latency is measured from the intended start, so that it includes the
/// time for which the load generator or the system delayed a request. Not thread-safe: each thread
/// records into its own report, and the reports are merged at the end.
class load_report {
public:
    load_report();
    ~load_report();
    load_report(load_report const&) = delete;
    load_report& operator=(load_report const&) = delete;
    load_report(load_report&&) noexcept;
    load_report& operator=(load_report&&) noexcept;

    void record(load_sample const& sample);

    /// Adds the samples of another report to this one.
    void merge(load_report const& other);

    latency_summary latency() const;

    /// Returns the number of responses that belonged to another request.
    std::uint64_t mismatched_answers() const;

    boost::json::object to_json() const;

    /// Formats the report for a terminal.
    std::string to_text() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
