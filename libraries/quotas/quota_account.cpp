#include "quotas/quota_account.h"

#include "quotas/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>

namespace peridot {

namespace {

// A node that is cut off admits at least single requests.
constexpr double min_own_capacity = 1.0;
// Time constant of the average demand.
constexpr std::chrono::duration<double> demand_window{0.5};
// Demand that is covered ahead. It hides the round trip to the pool from most requests, and what is
// left unused expires.
constexpr std::chrono::duration<double> covered_time{0.1};

// Own tokens are not lent and do not expire.
constexpr boot_time never = boot_time::max();

} // namespace

class quota_account::implementation {
public:
    struct lent_tokens {
        boot_time expires;
        unsigned count = 0;
    };

    struct workspace_state {
        explicit workspace_state(quota_terms const& terms, double share_seconds)
            : own(terms, share_seconds) {}

        std::deque<lent_tokens> lent;
        quota_bucket own;
        /// Average number of requests per second, and when it was updated.
        double demand = 0;
        boot_time demand_updated;
    };

    workspace_state& state_of(quota_key workspace) {
        return this->states.try_emplace(workspace, this->terms.at(workspace), this->own_since)
            .first->second;
    }

    // The own share accrues only while it is not delegated.
    void advance(boot_time now) {
        auto const from = std::max(this->advanced_to, this->delegated_until);
        if (now > from) {
            std::chrono::duration<double> const held = now - from;
            this->own_share_seconds += held.count() / this->node_count;
        }
        this->advanced_to = now;
    }

    static void update_demand(workspace_state& state, boot_time now, double arrivals) {
        std::chrono::duration<double> const elapsed = now - state.demand_updated;
        state.demand =
            state.demand * std::exp(-elapsed / demand_window) + arrivals / demand_window.count();
        state.demand_updated = now;
    }

    static void drop_expired(workspace_state& state, boot_time now) {
        std::erase_if(state.lent, [now](auto const& entry) { return entry.expires <= now; });
    }

    quota_table terms;
    unsigned node_count = 1;
    boot_time delegated_until;
    boot_time advanced_to;
    double own_share_seconds = 0;
    /// The share seconds at the last delegation.
    double own_since = 0;
    std::unordered_map<quota_key, workspace_state> states;
};

quota_account::quota_account() : self(std::make_unique<implementation>()) {}

quota_account::~quota_account() = default;

void quota_account::set_terms(quota_table const& terms) {
    this->self->terms = terms;
    std::erase_if(this->self->states,
                  [&](auto const& entry) { return !terms.contains(entry.first); });
    for (auto& [workspace, state] : this->self->states) {
        state.own.set_terms(terms.at(workspace));
    }
}

void quota_account::set_node_count(unsigned count, boot_time now) {
    this->self->advance(now);
    this->self->node_count = std::max(1U, count);
}

void quota_account::set_delegated_until(boot_time until, boot_time now) {
    this->self->advance(now);
    if (now >= this->self->delegated_until && until > now) {
        // The pool has a burst of its own, so what the share has saved up would be admitted twice.
        this->self->own_since = this->self->own_share_seconds;
        for (auto& [workspace, state] : this->self->states) {
            state.own = quota_bucket(this->self->terms.at(workspace), this->self->own_since);
        }
    }
    this->self->delegated_until = std::max(this->self->delegated_until, until);
}

bool quota_account::has_quota(quota_key workspace) const {
    return this->self->terms.contains(workspace);
}

std::optional<boot_time> quota_account::try_take(quota_key workspace, boot_time now) {
    auto& impl = *this->self;
    auto& state = impl.state_of(workspace);
    impl.drop_expired(state, now);
    if (!state.lent.empty()) {
        auto const expires = state.lent.front().expires;
        if (--state.lent.front().count == 0) {
            state.lent.pop_front();
        }
        return expires;
    }
    impl.advance(now);
    bool const is_delegated = now < impl.delegated_until;
    state.own.refill(impl.own_share_seconds, 1.0 / impl.node_count, min_own_capacity);
    return !is_delegated && state.own.take(1) == 1 ? std::optional(never) : std::nullopt;
}

void quota_account::give_back(quota_key workspace, boot_time expires, boot_time now) {
    // An own token is not kept: its share may be delegated again by now.
    if (this->has_quota(workspace) && expires != never && expires > now) {
        this->add(workspace, 1, expires);
    }
}

void quota_account::add(quota_key workspace, unsigned tokens, boot_time expires) {
    if (tokens == 0 || !this->has_quota(workspace)) {
        return;
    }
    auto& lent = this->self->state_of(workspace).lent;
    // The tokens that expire first are used first.
    auto const position =
        std::ranges::upper_bound(lent, expires, {}, &implementation::lent_tokens::expires);
    lent.insert(position, {expires, tokens});
}

unsigned quota_account::expected_need(quota_key workspace, boot_time now) {
    auto& state = this->self->state_of(workspace);
    implementation::update_demand(state, now, 0);
    implementation::drop_expired(state, now);
    unsigned held = 0;
    for (auto const& entry : state.lent) {
        held += entry.count;
    }
    auto const expected = static_cast<unsigned>(state.demand * covered_time.count());
    return expected > held ? expected - held : 0;
}

void quota_account::record_demand(quota_key workspace, boot_time now) {
    implementation::update_demand(this->self->state_of(workspace), now, 1);
}

} // namespace peridot
