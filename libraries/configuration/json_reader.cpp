#include "configuration/json_reader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace peridot {

namespace json = boost::json;

json_reader::json_reader(json::value const& source, std::string path, result_code validation_code)
    : fields(source.if_object()), location(std::move(path)), code(validation_code) {
    if (this->fields == nullptr) {
        this->first_error = {this->code, (this->location.empty() ? "/" : this->location) +
                                             " must be an object"};
    }
}

json::value const* json_reader::find(std::string_view key) {
    this->requested_keys.emplace_back(key);
    auto const* found = this->fields == nullptr ? nullptr : this->fields->if_contains(key);
    if (found == nullptr) {
        this->reject(key, "is missing");
    }
    return found;
}

bool json_reader::has(std::string_view key) const {
    return this->fields != nullptr && this->fields->if_contains(key) != nullptr;
}

std::string json_reader::text(std::string_view key) {
    auto const* found = this->find(key);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        this->reject(key, "must be a string");
        return {};
    }
    return std::string(found->as_string());
}

double json_reader::number(std::string_view key, double minimum, double maximum) {
    auto const* found = this->find(key);
    if (found == nullptr) {
        return minimum;
    }
    boost::system::error_code failed;
    auto const parsed = found->to_number<double>(failed);
    if (failed || parsed < minimum || parsed > maximum) {
        this->reject(key, "must be a number from " + std::to_string(minimum) + " to " +
                              std::to_string(maximum));
        return minimum;
    }
    return parsed;
}

std::uint64_t json_reader::integer(std::string_view key, std::uint64_t minimum,
                                   std::uint64_t maximum) {
    auto const* found = this->find(key);
    if (found == nullptr) {
        return minimum;
    }
    boost::system::error_code failed;
    auto const parsed = found->to_number<std::uint64_t>(failed);
    if (failed || parsed < minimum || parsed > maximum) {
        this->reject(key, "must be an integer from " + std::to_string(minimum) + " to " +
                              std::to_string(maximum));
        return minimum;
    }
    return parsed;
}

bool json_reader::boolean(std::string_view key) {
    auto const* found = this->find(key);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_bool()) {
        this->reject(key, "must be true or false");
        return false;
    }
    return found->as_bool();
}

json::array const& json_reader::list(std::string_view key, std::size_t max_size) {
    static json::array const empty;
    auto const* found = this->find(key);
    if (found == nullptr) {
        return empty;
    }
    if (!found->is_array() || found->as_array().size() > max_size) {
        this->reject(key, "must be a list of at most " + std::to_string(max_size) + " entries");
        return empty;
    }
    return found->as_array();
}

json::object const& json_reader::object(std::string_view key) {
    static json::object const empty;
    auto const* found = this->find(key);
    if (found == nullptr) {
        return empty;
    }
    if (!found->is_object()) {
        this->reject(key, "must be an object");
        return empty;
    }
    return found->as_object();
}

void json_reader::reject(std::string_view key, std::string_view reason) {
    if (this->first_error.code == result_code::ok) {
        this->first_error = {this->code,
                             this->location + "/" + std::string(key) + " " + std::string(reason)};
    }
}

void json_reader::merge_error(json_reader const& nested) {
    if (this->first_error.code == result_code::ok) {
        this->first_error = nested.first_error;
    }
}

status json_reader::finish() {
    if (this->fields != nullptr) {
        for (auto const& field : *this->fields) {
            if (std::find(this->requested_keys.begin(), this->requested_keys.end(), field.key()) ==
                this->requested_keys.end()) {
                this->reject(field.key(), "is not a known key");
            }
        }
    }
    if (this->first_error.code != result_code::ok) {
        return this->first_error;
    }
    return success();
}

} // namespace peridot
