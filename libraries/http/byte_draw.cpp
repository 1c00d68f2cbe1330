#include "http/byte_draw.h"

#include "http/byte_account.h"
#include "http/byte_budget.h"

#include <utility>

namespace peridot {

byte_draw::byte_draw(byte_budget const& budget, std::string address, eviction_handler evict)
    : account(budget.account), address(std::move(address)), evict(std::move(evict)) {
    if (this->evict) {
        this->account->evictable.insert(this);
    }
}

byte_draw::~byte_draw() {
    this->account->evictable.erase(this);
    this->account->change_size(*this, 0);
}

bool byte_draw::grow_to(std::size_t next, steady_time now) {
    if (this->is_evicted) {
        return false;
    }
    this->last_progress = now;
    if (next > this->size && !this->account->make_room(*this, next, now)) {
        return false;
    }
    this->account->change_size(*this, next);
    return true;
}

void byte_draw::keep() {
    this->account->evictable.erase(this);
}

} // namespace peridot
