#include "table_store.h"

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

table_store::row const* table_store::find(std::string const& key) const {
    auto const found = this->rows.find(key);
    return found == this->rows.end() ? nullptr : &found->second;
}

json::object table_store::page(std::string_view prefix, std::string const& after,
                               std::size_t limit) const {
    json::array entries;
    bool has_more = false;
    auto entry = this->rows.lower_bound(std::string(prefix));
    for (; entry != this->rows.end() && entry->first.starts_with(prefix); ++entry) {
        if (!after.empty() && entry->first <= after) {
            continue;
        }
        if (entries.size() == limit) {
            has_more = true;
            break;
        }
        entries.push_back({{"key", entry->first},
                           {"revision", entry->second.revision},
                           {"value", entry->second.value}});
    }
    return {{"rows", std::move(entries)}, {"has_more", has_more}};
}

json::array table_store::failed_conditions(json::array const& conditions) const {
    json::array failed;
    for (auto const& condition : conditions) {
        auto const& key = condition.at("key").as_string();
        auto const* current = this->find(std::string(key));
        auto const revision = current == nullptr ? 0 : current->revision;
        if (condition.at("revision").to_number<std::uint64_t>() != revision) {
            failed.emplace_back(key);
        }
    }
    return failed;
}

std::uint64_t table_store::apply(json::array const& writes) {
    ++this->last_revision;
    for (auto const& write : writes) {
        std::string const key(write.at("key").as_string());
        if (write.at("value").is_null()) {
            this->rows.erase(key);
        } else {
            this->rows[key] = {this->last_revision, write.at("value")};
        }
    }
    return this->last_revision;
}

void table_store::save(std::string const& name) {
    this->saved[name] = this->rows;
}

bool table_store::restore(std::string const& name) {
    auto const found = this->saved.find(name);
    if (found == this->saved.end()) {
        return false;
    }
    this->rows = found->second;
    return true;
}

} // namespace peridot
