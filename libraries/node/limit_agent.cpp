#include "node/limit_agent.h"

#include "core/random_source.h"
#include "limits/limit_divider.h"
#include "limits/limit_message.h"
#include "limits/local_limiter.h"
#include "membership/membership_agent.h"
#include "membership/rendezvous.h"
#include "node/attachment_kinds.h"
#include "proxy/node_state.h"

#include <algorithm>
#include <map>
#include <set>

namespace peridot {

namespace {

// Datagrams take attachments of at most 900 bytes; a demand takes less than 60, a share less
// than 40.
constexpr std::size_t entries_per_message = 12;

limit_quota quota_of(usage_limit const& limit) {
    return {limit.requests_per_second, limit.burst, limit.concurrency};
}

} // namespace

class limit_agent::implementation {
public:
    implementation(node_state& node, membership_agent& agent)
        : state(node)
        , members(agent)
        , divider(limit_divider_options{}, make_random_source()() >> 16U) {
        attachment_provider provider;
        provider.receive = [this](std::string_view bytes, std::string_view sender) {
            this->receive(bytes, sender);
        };
        this->members.set_attachment_provider(attachment_kinds::limits, std::move(provider));
    }

    void tick(steady_time now) {
        this->refresh_view();
        this->refresh_quotas(now);
        this->report_demand(now);
        for (auto const& pushed : this->divider.rebalance(this->fleet, now)) {
            this->deliver(pushed.instance, pushed.share, now);
        }
    }

private:
    struct known_limit {
        limit_quota quota;
        std::string divider;
        std::shared_ptr<local_limiter> limiter;
    };

    void refresh_view() {
        auto directory = this->members.directory().load();
        if (directory == this->directory) {
            return;
        }
        this->directory = std::move(directory);
        auto const alive = static_cast<std::uint32_t>(this->directory->members().size());
        this->fleet.alive = std::max<std::uint32_t>(1, alive);
        // Members that vanished without leaving may serve on behind a partition for a while.
        for (auto const& member : this->directory->members()) {
            this->last_seen.insert(member->instance);
        }
        std::erase_if(this->last_seen, [&](std::string const& instance) {
            auto const known = this->members.protocol().state_of(instance);
            return !known || *known == liveness::left;
        });
        this->fleet.known =
            std::max(this->fleet.alive, static_cast<std::uint32_t>(this->last_seen.size()));
        this->is_view_changed = true;
    }

    // Follows the held version and the view: one limiter for each (workspace, service), and the
    // divider that rendezvous hashing makes responsible for it.
    void refresh_quotas(steady_time now) {
        auto const snapshot = this->state.snapshots.current();
        if (!snapshot || (snapshot == this->snapshot && !this->is_view_changed)) {
            return;
        }
        this->snapshot = snapshot;
        this->is_view_changed = false;
        std::map<limit_key, known_limit> next;
        auto table = std::make_shared<limit_table>();
        for (auto const& [workspace, entry] : snapshot->manifest_content().workspaces) {
            auto const* terms = snapshot->find_contract(workspace);
            if (terms == nullptr) {
                continue;
            }
            for (auto const& grant : terms->grants) {
                auto const key = limit_key_of(workspace, grant.service);
                auto limit = this->follow(key, quota_of(grant.limit), now);
                table->limiters[key] = limit.limiter;
                next.emplace(key, std::move(limit));
            }
        }
        for (auto const& [key, limit] : this->limits) {
            if (!next.contains(key)) {
                this->divider.remove(key);
            }
        }
        this->limits = std::move(next);
        this->state.limits.replace(std::move(table));
    }

    known_limit follow(limit_key key, limit_quota const& quota, steady_time now) {
        known_limit limit;
        limit.quota = quota;
        auto const chosen =
            choose_by_rendezvous(this->directory->members(), "limit-" + std::to_string(key), 1);
        limit.divider = chosen.empty() ? this->state.instance : chosen.front()->instance;
        auto const known = this->limits.find(key);
        if (known == this->limits.end()) {
            limit.limiter = std::make_shared<local_limiter>(key, quota, this->fleet);
        } else {
            limit.limiter = known->second.limiter;
            limit.limiter->set_quota(quota, this->fleet, now);
        }
        bool const was_own =
            known != this->limits.end() && known->second.divider == this->state.instance;
        if (limit.divider == this->state.instance) {
            this->divider.set_quota(key, quota, now);
        } else if (was_own) {
            this->divider.remove(key);
        }
        return limit;
    }

    void report_demand(steady_time now) {
        std::map<std::string, std::vector<limit_demand>> by_divider;
        for (auto const& [key, limit] : this->limits) {
            limit.limiter->measure(now);
            if (auto const due = limit.limiter->due_report(now)) {
                limit.limiter->record_report(*due, now);
                by_divider[limit.divider].push_back(*due);
            }
        }
        for (auto const& [target, demands] : by_divider) {
            if (target == this->state.instance) {
                this->take_reports({target, this->incarnation()}, ++this->sequence, demands, now);
                continue;
            }
            for (std::size_t first = 0; first < demands.size(); first += entries_per_message) {
                auto const last = std::min(demands.size(), first + entries_per_message);
                limit_message message = this->new_message();
                message.demands.assign(demands.begin() + static_cast<std::ptrdiff_t>(first),
                                       demands.begin() + static_cast<std::ptrdiff_t>(last));
                this->send(target, message);
            }
        }
    }

    void receive(std::string_view bytes, std::string_view sender) {
        auto const now = std::chrono::steady_clock::now();
        auto const message = decode_limit_message(bytes);
        if (!is_ok(message) || value(message).instance != sender) {
            return;
        }
        this->take_reports({value(message).instance, value(message).incarnation},
                           value(message).sequence, value(message).demands, now);
        for (auto const& share : value(message).shares) {
            this->apply(share, sender, now);
        }
    }

    void take_reports(entry_node const& sender, std::uint64_t report_sequence,
                      std::vector<limit_demand> const& demands, steady_time now) {
        limit_message reply = this->new_message();
        for (auto const& demand : demands) {
            auto const share =
                this->divider.report(sender, report_sequence, demand, this->fleet, now);
            if (is_ok(share)) {
                reply.shares.push_back(value(share));
            }
        }
        if (reply.shares.empty()) {
            return;
        }
        if (sender.instance == this->state.instance) {
            for (auto const& share : reply.shares) {
                this->apply(share, sender.instance, now);
            }
            return;
        }
        this->send(sender.instance, reply);
    }

    void deliver(std::string const& instance, limit_share const& share, steady_time now) {
        if (instance == this->state.instance) {
            this->apply(share, instance, now);
            return;
        }
        limit_message message = this->new_message();
        message.shares.push_back(share);
        this->send(instance, message);
    }

    void apply(limit_share const& share, std::string_view from, steady_time now) {
        auto const found = this->limits.find(share.key);
        if (found != this->limits.end()) {
            found->second.limiter->apply(share, from, now);
        }
    }

    limit_message new_message() {
        limit_message message;
        message.instance = this->state.instance;
        message.incarnation = this->incarnation();
        message.sequence = ++this->sequence;
        return message;
    }

    std::uint64_t incarnation() const { return this->members.protocol().own().incarnation; }

    void send(std::string const& instance, limit_message const& message) {
        for (auto& datagram : encode_limit_message(message)) {
            attachment const item{attachment_kinds::limits, std::move(datagram)};
            // A report that cannot be sent is repeated by the limiter.
            (void)this->members.send_attachment(instance, item);
        }
    }

    node_state& state;
    membership_agent& members;
    limit_divider divider;
    std::shared_ptr<endpoint_directory const> directory;
    std::shared_ptr<configuration_snapshot const> snapshot;
    std::set<std::string> last_seen;
    fleet_view fleet;
    bool is_view_changed = true;
    std::map<limit_key, known_limit> limits;
    std::uint64_t sequence = 0;
};

limit_agent::limit_agent(node_state& state, membership_agent& members)
    : self(std::make_unique<implementation>(state, members)) {}

limit_agent::~limit_agent() = default;

void limit_agent::tick(steady_time now) {
    this->self->tick(now);
}

} // namespace peridot
