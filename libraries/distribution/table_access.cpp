#include "distribution/table_access.h"

#include "platform/table_client.h"

namespace peridot {

table_access make_table_access(table_client& table) {
    table_access access;
    access.read = [&table](std::string key, steady_time deadline) {
        return table.read(std::move(key), deadline);
    };
    access.commit = [&table](table_transaction transaction, steady_time deadline) {
        return table.commit(std::move(transaction), deadline);
    };
    access.list = [&table](std::string prefix, std::string after, std::size_t limit,
                           steady_time deadline) {
        return table.list(std::move(prefix), std::move(after), limit, deadline);
    };
    return access;
}

} // namespace peridot
