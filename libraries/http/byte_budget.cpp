#include "http/byte_budget.h"

#include "http/byte_account.h"

#include <utility>

namespace peridot {

byte_budget::byte_budget(std::optional<std::size_t> bound)
    : account(std::make_shared<detail::byte_account>(bound)) {}

bool byte_budget::is_bounded() const {
    return this->account->bound.has_value();
}

std::size_t byte_budget::used() const {
    return this->account->used;
}

void byte_budget::set_refusal_handler(refusal_handler handler) {
    this->account->report_refusal = std::move(handler);
}

void byte_budget::report_refusal(std::string const& address) const {
    if (this->account->report_refusal) {
        this->account->report_refusal(address);
    }
}

} // namespace peridot
