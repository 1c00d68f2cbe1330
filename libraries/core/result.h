#pragma once

#include "core/error.h"

#include <utility>
#include <variant>

namespace peridot {

/// The value of a fallible operation, or its error.
template<typename T>
using result = std::variant<T, error>;

/// The result of a fallible operation that returns no value.
using status = result<std::monostate>;

/// Returns whether the operation succeeded.
template<typename T>
bool is_ok(result<T> const& outcome) {
    return outcome.index() == 0;
}

/// Returns the value. Requires is_ok().
template<typename T>
T const& value(result<T> const& outcome) {
    return *std::get_if<0>(&outcome);
}

template<typename T>
T& value(result<T>& outcome) {
    return *std::get_if<0>(&outcome);
}

template<typename T>
T&& value(result<T>&& outcome) {
    return std::move(*std::get_if<0>(&outcome));
}

/// Returns the error. Requires that is_ok() is false.
template<typename T>
error const& failure(result<T> const& outcome) {
    return *std::get_if<1>(&outcome);
}

/// Returns a successful status.
inline status success() {
    return std::monostate{};
}

} // namespace peridot
