#include "configuration/route.h"

namespace peridot {

bool is_idempotent(route const& matched, std::string_view method) {
    if (matched.idempotent) {
        return *matched.idempotent;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
           method == "DELETE";
}

} // namespace peridot
