#include "settings/settings_problem.h"

namespace peridot {

error to_error(settings_problem const& problem) {
    std::string message = problem.file + ": ";
    if (!problem.pointer.empty()) {
        message += problem.pointer + ": ";
    }
    return {problem.code, message + problem.message};
}

} // namespace peridot
