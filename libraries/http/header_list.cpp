#include "http/header_list.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace peridot {

namespace {

auto has_name(std::string_view name) {
    return [name](header_list::field const& entry) {
        return boost::beast::iequals(entry.first, name);
    };
}

} // namespace

std::string_view header_list::value(std::string_view name) const {
    auto const found = std::find_if(this->fields.begin(), this->fields.end(), has_name(name));
    return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

bool header_list::contains(std::string_view name) const {
    return std::any_of(this->fields.begin(), this->fields.end(), has_name(name));
}

void header_list::set(std::string_view name, std::string_view value) {
    this->remove(name);
    this->add(name, value);
}

void header_list::add(std::string_view name, std::string_view value) {
    this->fields.emplace_back(std::string(name), std::string(value));
}

void header_list::remove(std::string_view name) {
    std::erase_if(this->fields, has_name(name));
}

} // namespace peridot
