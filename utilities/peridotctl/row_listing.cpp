#include "row_listing.h"

#include "platform_session.h"

namespace peridot {

namespace {

constexpr std::size_t page_size = 500;

} // namespace

result<std::vector<table_row>> list_rows(platform_session& session, std::string const& prefix) {
    std::vector<table_row> rows;
    std::string after;
    for (;;) {
        auto page = session.run(session.table.list(prefix, after, page_size, session.deadline()));
        if (!is_ok(page)) {
            return failure(page);
        }
        for (auto& row : value(page).rows) {
            rows.push_back(std::move(row));
        }
        if (!value(page).has_more || rows.empty()) {
            return rows;
        }
        after = rows.back().key;
    }
}

} // namespace peridot
