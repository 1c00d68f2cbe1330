#include "core/error.h"

namespace peridot {

std::string describe(error const& failure) {
    std::string text = "PD" + std::to_string(static_cast<unsigned>(failure.code)) + " ";
    text += name(failure.code);
    if (!failure.message.empty()) {
        text += ": " + failure.message;
    }
    return text;
}

} // namespace peridot
