#include "sidecar/rollout_steering.h"

#include "core/log.h"
#include "mesh/rollout_controller.h"
#include "mesh/rollout_plan.h"
#include "mesh/row_replica.h"
#include "mesh/store_clock.h"
#include "mesh/version_share.h"
#include "moves/evidence_aggregator.h"
#include "moves/evidence_report.h"
#include "platform/decoders.h"
#include "sidecar/fleet_sync.h"
#include "sidecar/rollout_channel.h"
#include "sidecar/rollout_json.h"
#include "sidecar/view_builder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds period{250};
// At a large share, a bad version would reach many callers before the next check.
constexpr milliseconds short_period{80};
constexpr double large_share = 0.2;
constexpr milliseconds idle_period{500};
// Time for a lost record to be written by one node and to be read by the others. While the store
// takes no writes, the attempts of a whole service are few.
constexpr milliseconds restore_interval{1000};

} // namespace

class rollout_steering::implementation : public std::enable_shared_from_this<implementation> {
public:
    // Local state of one roll-out.
    struct tracked_rollout {
        explicit tracked_rollout(rollout const& current) : aggregator(rollout_id(current)) {}
        evidence_aggregator aggregator;
        std::optional<rollout_controller> controller;
        bool is_condemned = false;
        /// Whether the new version gets few of the requests that its share stands for.
        bool is_share_missing = false;
        /// Whether a step or the completion is being written.
        bool is_step_pending = false;
        std::uint64_t sequence = 0;
        /// The start of the roll-out that the controller's plan is based on.
        milliseconds planned_start{0};
    };

    implementation(asio::io_context& io, connection_pool& pool, fleet_sync& sync,
                   rcu_cell<fleet_view> const& fleet_views, std::string own_instance,
                   std::string own_service, std::uint16_t control_port, exposure_limits exposure,
                   callbacks given_handlers)
        : context(io)
        , channel(pool, control_port)
        , fleet(sync)
        , views(fleet_views)
        , instance(std::move(own_instance))
        , service(std::move(own_service))
        , limits(exposure)
        , handlers(std::move(given_handlers))
        , incarnation(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count())) {}

    static asio::awaitable<void> run(std::shared_ptr<implementation> self) {
        asio::steady_timer timer(self->context);
        for (;;) {
            timer.expires_after(co_await self->step());
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    http_response accept(http_request const& request) {
        bool const is_verdict =
            rollout_channel::message_kind(request) == rollout_channel::message::verdict;
        return rollout_channel::write_response(is_verdict ? this->accept_verdict(request.body)
                                                          : this->accept_evidence(request.body));
    }

    // Passes the version that the gate has to refuse to the gate if it has changed.
    void update_blocked_version() {
        this->is_record_checked = false;
        auto const recorded = this->recorded_rollout();
        auto blocked =
            recorded ? blocked_version(*recorded, this->is_condemned(*recorded)) : std::string();
        if (blocked == this->blocked) {
            return;
        }
        this->blocked = blocked;
        this->handlers.set_blocked_version(std::move(blocked));
        if (recorded && recorded->phase == rollout_phase::complete &&
            this->is_condemned(*recorded)) {
            log::write(log::level::error, "condemned_version_completed",
                       {{"service", recorded->service}, {"version", recorded->to}});
        }
    }

private:
    rollout_channel::delivery accept_evidence(std::string const& body) {
        auto const report = decode_evidence_report(body);
        if (!is_ok(report)) {
            return rollout_channel::delivery::failed;
        }
        auto const current = this->recorded_rollout();
        // Without the roll-out or the store's clock this node cannot judge the evidence; the sender
        // selects another node.
        if (!current || rollout_id(*current) != value(report).move || !this->fleet.store_time()) {
            return rollout_channel::delivery::failed;
        }
        if (current->phase != rollout_phase::running) {
            return rollout_channel::delivery::accepted;
        }
        auto& tracked = this->state_for(*current);
        tracked.aggregator.accept(value(report));
        return tracked.is_condemned ? rollout_channel::delivery::condemned
                                    : rollout_channel::delivery::accepted;
    }

    rollout_channel::delivery accept_verdict(std::string const& id) {
        return this->condemn(id) ? rollout_channel::delivery::accepted
                                 : rollout_channel::delivery::failed;
    }

    // Records a verdict against the version of a roll-out of this node's service. Returns false if
    // this node does not know the roll-out.
    bool condemn(std::string const& id) {
        auto const current = this->recorded_rollout();
        if (!current || rollout_id(*current) != id) {
            return false;
        }
        if (current->phase == rollout_phase::running) {
            this->state_for(*current).is_condemned = true;
            this->update_blocked_version();
        }
        return true;
    }

    bool is_condemned(rollout const& recorded) const {
        auto const found = this->states.find(recorded.order);
        return found != this->states.end() && found->second.is_condemned;
    }

    // Returns the latest roll-out of this node's service.
    std::optional<rollout> recorded_rollout() const {
        auto const view = this->views.load();
        if (!view) {
            return std::nullopt;
        }
        auto const found = view->rollouts.find(this->service);
        return found == view->rollouts.end() ? std::nullopt : std::optional(found->second);
    }

    // Returns the roll-out of this node's service that is in progress.
    std::optional<rollout> running_rollout() const {
        auto const recorded = this->recorded_rollout();
        return recorded && recorded->phase == rollout_phase::running ? recorded : std::nullopt;
    }

    tracked_rollout& state_for(rollout const& current) {
        auto const found = this->states.find(current.order);
        if (found != this->states.end()) {
            return found->second;
        }
        this->states.clear();
        return this->states.emplace(current.order, tracked_rollout(current)).first->second;
    }

    // Returns the time until the next step.
    asio::awaitable<milliseconds> step() {
        this->restore_record();
        auto const current = this->running_rollout();
        if (!current) {
            this->set_unfit(false);
            co_return idle_period;
        }
        auto const next = current->share >= large_share ? short_period : period;
        auto const steering = this->choose_steering_member();
        if (!steering) {
            co_return next;
        }
        co_await this->report(*current, *steering);
        if (steering->instance == this->instance) {
            co_await this->steer(*current);
        }
        co_return next;
    }

    // Writes the roll-out again if the store has lost it, or holds an earlier state of it, after it
    // came back from a copy.
    void restore_record() {
        auto const current = this->recorded_rollout();
        if (this->is_record_checked || !current || !this->is_record_lost(*current)) {
            this->is_record_checked = true;
            this->restore_at.reset();
            return;
        }
        auto const now = std::chrono::steady_clock::now();
        auto const turn = this->rank() * restore_interval;
        this->restore_at = this->restore_at.value_or(now + turn);
        if (now < *this->restore_at || this->state_for(*current).is_step_pending) {
            return;
        }
        this->restore_at = now + turn + restore_interval;
        log::write(log::level::warning, "rollout_recorded_again",
                   {{"service", current->service},
                    {"version", current->to},
                    {"status", encode_rollout_status(*current)}});
        this->start_step(this->on_current_clock(*current));
    }

    // The store's clock may go back with its rows. Nodes that started later know only the new one.
    rollout on_current_clock(rollout current) const {
        auto const& clock = this->fleet.clock();
        auto const started = clock.convert(current.started_era, current.started);
        if (started != current.started) {
            current.started = started;
            current.started_era = clock.era();
        }
        return current;
    }

    // A roll-out that has not begun has no record, and the operator has to write the order first.
    bool is_record_lost(rollout const& current) const {
        bool const has_begun =
            current.started.count() != 0 || current.phase != rollout_phase::running;
        bool const is_ordered =
            current.ordered_at.era >= this->fleet.rows().era(store_keys::operator_table);
        return has_begun && is_ordered &&
               peridot::recorded_rollout(this->fleet.rows(), this->service) !=
                   this->on_current_clock(current);
    }

    // The nodes of the service that come before this one. Each waits for those before it, so that
    // one of them writes.
    int rank() const {
        auto const view = this->views.load();
        auto const found = view->members.find(this->service);
        return found == view->members.end()
                   ? 0
                   : static_cast<int>(
                         std::ranges::count_if(found->second, [this](member const& other) {
                             return other.instance < this->instance &&
                                    other.target.state != target_state::gone;
                         }));
    }

    // A node that is the first member but lacks the store's clock leaves the roll-out to the next
    // member, which the others find in the same way when this node does not accept their evidence.
    std::optional<member> choose_steering_member() {
        auto first = this->steering_member();
        if (this->fleet.store_time()) {
            this->set_unfit(false);
            return first;
        }
        if (!first || first->instance != this->instance) {
            return first;
        }
        this->set_unfit(true);
        this->channel.skip(this->instance);
        return this->steering_member();
    }

    void set_unfit(bool is_unfit_now) {
        if (this->is_unfit == is_unfit_now) {
            return;
        }
        this->is_unfit = is_unfit_now;
        if (is_unfit_now) {
            log::write(log::level::warning, "rollout_left_to_next_member",
                       {{"service", this->service}, {"reason", "the store's clock is unknown"}});
        } else {
            log::write(log::level::info, "rollout_duty_cleared", {{"service", this->service}});
        }
        this->handlers.set_unfit_to_steer(is_unfit_now);
    }

    std::optional<member> steering_member() const {
        auto const view = this->views.load();
        auto const found = view->members.find(this->service);
        return found == view->members.end() ? std::nullopt
                                            : this->channel.steering_member(found->second);
    }

    asio::awaitable<void> report(rollout current, member steering) {
        evidence_report counts;
        counts.move = rollout_id(current);
        counts.node = this->instance;
        counts.incarnation = this->incarnation;
        counts.routes = co_await this->handlers.evidence(counts.move);
        auto& tracked = this->state_for(current);
        counts.sequence = ++tracked.sequence;
        if (steering.instance == this->instance) {
            tracked.aggregator.accept(counts);
            co_return;
        }
        // The node that reached the verdict may have stopped steering before it recorded it.
        if (tracked.is_condemned) {
            co_await this->channel.send_to_steering(steering, rollout_channel::message::verdict,
                                                    counts.move);
            co_return;
        }
        for (auto& datagram : encode(counts)) {
            auto const result = co_await this->channel.send_to_steering(
                steering, rollout_channel::message::evidence, std::move(datagram));
            if (result == rollout_channel::delivery::failed) {
                co_return;
            }
            if (result == rollout_channel::delivery::condemned) {
                this->condemn(counts.move);
            }
        }
    }

    static asio::awaitable<void> announce_verdict_to(std::shared_ptr<implementation> self,
                                                     member receiver, std::string id) {
        co_await self->channel.announce_verdict(std::move(receiver), std::move(id));
    }

    // A condemned version gets requests until its gates know the verdict. They are told at once,
    // since their next report and the change of the rows take longer.
    void announce_verdict(rollout const& current) {
        this->condemn(rollout_id(current));
        auto const view = this->views.load();
        auto const found = view->members.find(current.service);
        if (found == view->members.end()) {
            return;
        }
        for (auto const& receiver : found->second) {
            if (receiver.target.version == current.to && receiver.instance != this->instance) {
                asio::co_spawn(
                    this->context,
                    announce_verdict_to(this->shared_from_this(), receiver, rollout_id(current)),
                    asio::detached);
            }
        }
    }

    asio::awaitable<void> steer(rollout current) {
        auto const now = this->fleet.store_time();
        if (!now) {
            co_return;
        }
        if (current.started.count() == 0) {
            this->begin(current, *now);
            co_return;
        }
        current = this->on_current_clock(std::move(current));
        if (this->is_condemned(current)) {
            co_await this->take_version_back(current);
            co_return;
        }
        auto& tracked = this->state_for(current);
        if (!tracked.controller || tracked.planned_start != current.started) {
            tracked.planned_start = current.started;
            tracked.controller.emplace(current, this->instance, this->limits);
        }
        auto const decided = tracked.controller->decide(current, tracked.aggregator.totals(), *now);
        log_missing_share(current, tracked);
        if (auto const* verdict = std::get_if<take_back>(&decided)) {
            log::write(log::level::warning, "rollout_condemned",
                       {{"service", current.service},
                        {"version", current.to},
                        {"reason", describe(*verdict)}});
            this->announce_verdict(current);
            co_await this->take_version_back(current);
            co_return;
        }
        rollout next = current;
        if (!std::holds_alternative<no_change>(decided) && !tracked.is_step_pending) {
            this->log_evidence(current, tracked);
        }
        if (auto const* raise = std::get_if<rollout_step>(&decided)) {
            next.step = raise->step;
            next.share = raise->share;
            this->start_step(std::move(next));
        } else if (std::holds_alternative<rollout_completion>(decided)) {
            next.phase = rollout_phase::complete;
            this->start_step(std::move(next));
        }
    }

    // Why the last step or the completion may be late.
    static void log_missing_share(rollout const& current, tracked_rollout& tracked) {
        bool const is_missing = tracked.controller->is_share_missing();
        if (is_missing == tracked.is_share_missing) {
            return;
        }
        tracked.is_share_missing = is_missing;
        log::write(
            is_missing ? log::level::warning : log::level::info,
            is_missing ? "rollout_version_unreached" : "rollout_version_reached",
            {{"service", current.service}, {"version", current.to}, {"share", current.share}});
    }

    // What a step or the completion was decided on.
    static void log_evidence(rollout const& current, tracked_rollout const& tracked) {
        auto const summary = tracked.controller->summary();
        auto const& seen = summary.evidence.new_version;
        auto const& old = summary.evidence.old_version;
        log::write(log::level::info, "rollout_evidence",
                   {{"service", current.service},
                    {"version", current.to},
                    {"step", static_cast<std::int64_t>(current.step)},
                    {"e_value", summary.e_value},
                    {"is_step_judged", summary.is_step_judged},
                    {"sent", static_cast<std::int64_t>(sent_calls(seen))},
                    {"ended", static_cast<std::int64_t>(seen.calls)},
                    {"failed", static_cast<std::int64_t>(seen.failures)},
                    {"is_old_version_failing", summary.is_old_version_failing},
                    {"old_ended", static_cast<std::int64_t>(old.calls)},
                    {"old_failed", static_cast<std::int64_t>(old.failures)}});
    }

    void begin(rollout next, milliseconds now) {
        next.started = now;
        next.started_era = this->fleet.clock().era();
        if (next.from.empty()) {
            next.from = this->version_in_force(next);
        }
        next.share = make_rollout_plan(next).ramp.front().share;
        this->start_step(std::move(next));
    }

    // Writes a step in the background: the store may keep it waiting, and a version that turns bad
    // meanwhile has to be found. Of a step and a roll-back that wait together, the store performs
    // only the first one.
    void start_step(rollout next) {
        auto& tracked = this->state_for(next);
        if (tracked.is_step_pending) {
            return;
        }
        tracked.is_step_pending = true;
        asio::co_spawn(this->context, write_step(this->shared_from_this(), std::move(next)),
                       asio::detached);
    }

    static asio::awaitable<void> write_step(std::shared_ptr<implementation> self, rollout next) {
        auto const order = next.order;
        co_await self->write(std::move(next));
        auto const found = self->states.find(order);
        if (found != self->states.end()) {
            found->second.is_step_pending = false;
        }
    }

    asio::awaitable<void> take_version_back(rollout next) {
        next.phase = rollout_phase::rolled_back;
        next.share = 0;
        co_await this->write(std::move(next));
    }

    std::string version_in_force(rollout const& current) const {
        auto const view = this->views.load();
        auto const found = view->members.find(current.service);
        if (found == view->members.end()) {
            return {};
        }
        rollout before = current;
        before.phase = rollout_phase::rolled_back;
        return version_shares(found->second, &before).begin()->first;
    }

    // The operator's row and the nodes' row are written in one transaction.
    asio::awaitable<void> write(rollout next) {
        std::string const key = std::string(fleet_keys::rollout_prefix) + next.service;
        std::string const status_key = std::string(store_keys::rollout_prefix) + next.service;
        std::vector<replica_row> rows;
        rows.push_back({std::string(fleet_keys::table), key, encode_rollout(next),
                        this->fleet.condition(fleet_keys::table, key), false});
        rows.push_back({std::string(store_keys::status_table), status_key,
                        encode_rollout_status(next),
                        this->fleet.condition(store_keys::status_table, status_key), false});
        auto const outcome = co_await this->fleet.commit(std::move(rows), commit_path::direct);
        if (std::holds_alternative<commit_done>(outcome)) {
            log::write(log::level::info, "rollout_step",
                       {{"service", next.service},
                        {"version", next.to},
                        {"share", next.share},
                        {"status", encode_rollout_status(next)}});
            co_return;
        }
        auto const* failed = std::get_if<error>(&outcome);
        log::write(log::level::warning, "rollout_step_not_written",
                   {{"service", next.service},
                    {"reason", failed == nullptr ? std::string("a row was changed concurrently")
                                                 : describe(*failed)}});
    }

    asio::io_context& context;
    rollout_channel channel;
    fleet_sync& fleet;
    rcu_cell<fleet_view> const& views;
    std::string instance;
    std::string service;
    exposure_limits limits;
    callbacks handlers;
    std::uint64_t incarnation;
    /// The version that the gate refuses; empty for none.
    std::string blocked;
    std::map<store_revision, tracked_rollout> states;
    /// Whether the store is known to hold the roll-out as this node knows it.
    bool is_record_checked = false;
    /// When this node writes it again; no value while the store holds it.
    std::optional<steady_time> restore_at;
    /// Whether this node should steer a roll-out and lacks what it needs for that.
    bool is_unfit = false;

    friend class rollout_steering;
};

rollout_steering::rollout_steering(asio::io_context& context, connection_pool& connections,
                                   fleet_sync& fleet, rcu_cell<fleet_view> const& views,
                                   std::string instance, std::string service, std::uint16_t port,
                                   exposure_limits limits, callbacks handlers)
    : self(std::make_shared<implementation>(context, connections, fleet, views, std::move(instance),
                                            std::move(service), port, limits,
                                            std::move(handlers))) {}

rollout_steering::~rollout_steering() = default;

void rollout_steering::start() {
    asio::co_spawn(this->self->context, implementation::run(this->self), asio::detached);
}

void rollout_steering::rows_changed() {
    this->self->update_blocked_version();
}

http_response rollout_steering::accept(http_request const& request) {
    return this->self->accept(request);
}

} // namespace peridot
