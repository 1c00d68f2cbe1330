#pragma once

#include "settings/settings_problem.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace peridot {

/// A compiled JSON schema (draft 4, RapidJSON). Immutable, so safe to share between threads.
class settings_schema {
public:
    /// Compiles a schema that is part of the program and must be valid; aborts if it is not JSON.
    explicit settings_schema(std::string_view text);
    ~settings_schema();
    settings_schema(settings_schema const&) = delete;
    settings_schema& operator=(settings_schema const&) = delete;
    settings_schema(settings_schema&&) noexcept;
    settings_schema& operator=(settings_schema&&) noexcept;

    /// Returns the first violation of the schema, or no value if the document conforms to it.
    std::optional<settings_problem> find_problem(boost::json::value const& document) const;

private:
    class implementation;
    std::unique_ptr<implementation const> self;
};

} // namespace peridot
