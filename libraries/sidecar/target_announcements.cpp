#include "sidecar/target_announcements.h"

#include "core/boot_clock.h"
#include "core/log.h"
#include "mesh/row_replica.h"
#include "mesh/target_reach.h"
#include "mesh/target_tracker.h"
#include "platform/decoders.h"
#include "platform/messages.h"
#include "settings/sidecar_settings.h"
#include "sidecar/fleet_sync.h"
#include "sidecar/member_json.h"
#include "sidecar/view_builder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;

// A target treats an acknowledgement as missing after one second.
constexpr milliseconds recording_timeout{600};
constexpr milliseconds recording_poll_period{10};
constexpr milliseconds first_backoff{100};
constexpr milliseconds max_backoff{1000};

http_response acknowledgement() {
    http_response answer;
    answer.headers.set("Content-Type", "application/json");
    answer.body = "{}";
    return answer;
}

http_response refusal() {
    http_response answer;
    answer.status = 400;
    return answer;
}

} // namespace

class target_announcements::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, sidecar_settings const& node_settings, fleet_sync& sync,
                   apply_function apply_target, warm_up_function on_warm_up)
        : context(io)
        , settings(node_settings)
        , fleet(sync)
        , apply(std::move(apply_target))
        , report_warm_up(std::move(on_warm_up))
        , tracker(to_string(node_settings.target), node_settings.service)
        , retry(io) {}

    asio::awaitable<http_response> respond(http_request request) {
        auto const call = read_target_call(request);
        if (!call) {
            http_response not_found;
            not_found.status = 404;
            co_return not_found;
        }
        auto const change = this->process_call(*call, request.body);
        if (!change) {
            co_return refusal();
        }
        if (*change == target_change::updated) {
            co_await this->apply_current();
        }
        if (call->kind == target_call::purpose::heartbeat && *change != target_change::ignored &&
            this->tracker.current()) {
            this->report_warm_up(this->tracker.current()->warm_up_remaining);
        }
        bool const is_out_of_service =
            this->tracker.current() && !is_in_service(this->tracker.current()->state);
        if (is_out_of_service) {
            co_await this->wait_until_recorded();
        }
        co_return acknowledgement();
    }

    static asio::awaitable<void> apply_state(std::shared_ptr<implementation> self,
                                             target_record target) {
        bool const is_refuted =
            target.state == target_state::unreachable &&
            !is_announcement_overdue(self->last_announcement, boot_clock::now());
        if (!is_refuted && self->tracker.observe(target) == target_change::updated) {
            co_await self->apply_current();
        }
    }

    void rows_changed() {
        // The source of the rows may also be able to write the record.
        this->retry.cancel();
        this->check_record();
        auto const change = this->merge_record();
        this->observe_awaited_target();
        if (change == target_change::updated) {
            asio::co_spawn(this->context, apply_merged(this->shared_from_this()), asio::detached);
        }
    }

    bool is_recorded() const { return !this->is_recording; }

    bool awaits_target() const { return this->is_awaiting_target; }

    asio::io_context& context;

private:
    // The store may have lost the record, or hold an earlier one, when it came back from a copy.
    void check_record() {
        auto const era = this->fleet.rows().era(fleet_keys::table);
        if (!this->tracker.current() || era <= this->recorded_era) {
            return;
        }
        auto const* row = this->stored_row();
        this->set_recorded(row == nullptr ? std::string() : row->value, era);
        if (this->is_record_outdated() && !this->is_recording) {
            log::write(log::level::info, "target_recorded_again",
                       {{"target", this->tracker.current()->id},
                        {"state", std::string(name(this->tracker.current()->state))}});
            this->start_recording();
        }
    }

    // What is known of a later era stays.
    void set_recorded(std::string text, std::uint64_t era) {
        if (era < this->recorded_era) {
            return;
        }
        this->recorded_text = std::move(text);
        this->recorded_era = era;
    }

    // Returns the node's row. A row of an earlier era that arrives late, from a node that had read
    // it before the store came back from a copy, is not in the store.
    replica_row const* stored_row() const {
        auto const& rows = this->fleet.rows();
        auto const* row = rows.find(fleet_keys::table, this->key());
        bool const is_lost = row != nullptr && row->revision.era < rows.era(fleet_keys::table);
        return is_lost ? nullptr : row;
    }

    // Compares the target with the node's record, which an earlier process may have written.
    target_change merge_record() {
        auto const* row = this->stored_row();
        if (row == nullptr) {
            return this->fleet.has_read_members() ? this->tracker.confirm_unrecorded()
                                                  : target_change::ignored;
        }
        if (row->revision <= this->merged_revision) {
            return target_change::ignored;
        }
        this->merged_revision = row->revision;
        auto const recorded = decode_member(row->value);
        if (!is_ok(recorded) || value(recorded).ip != this->settings.ip) {
            return this->tracker.confirm_unrecorded();
        }
        this->set_recorded(encode_member(value(recorded)), row->revision.era);
        auto const change = this->tracker.restore(value(recorded).target);
        // A late write of an earlier process may have replaced the current record.
        if (change != target_change::updated && this->is_record_outdated()) {
            this->start_recording();
        }
        return change;
    }

    static asio::awaitable<void> apply_merged(std::shared_ptr<implementation> self) {
        co_await self->apply_current();
        if (self->tracker.current()) {
            self->report_warm_up(self->tracker.current()->warm_up_remaining);
        }
    }

    // The other threads see whether the target is awaited.
    void observe_awaited_target() {
        bool const is_awaited = this->tracker.awaited().has_value();
        if (this->is_awaiting_target.exchange(is_awaited) == is_awaited) {
            return;
        }
        log::write(log::level::info, is_awaited ? "target_awaited" : "target_confirmed",
                   {{"service", this->settings.service}});
    }

    // Returns no value if the message is malformed.
    std::optional<target_change> process_call(target_call const& call, std::string const& body) {
        if (call.kind == target_call::purpose::deregister) {
            return this->tracker.deregister(call.target_id, decode_start_time(body));
        }
        auto const announced = decode_heartbeat(call.target_id, body);
        if (!is_ok(announced)) {
            log::write(log::level::warning, "heartbeat_refused",
                       {{"target", call.target_id}, {"reason", describe(failure(announced))}});
            return std::nullopt;
        }
        auto const change = this->tracker.announce(value(announced));
        if (change != target_change::ignored) {
            this->last_announcement = boot_clock::now();
        }
        bool const is_deferred = change == target_change::deferred;
        if (is_deferred && !std::exchange(this->has_deferred_target, true)) {
            log::write(log::level::info, "target_deferred",
                       {{"target", call.target_id},
                        {"reason", "the record of this node has not been read"}});
        }
        return change;
    }

    asio::awaitable<void> apply_current() {
        auto const current = this->tracker.current();
        this->observe_awaited_target();
        if (current) {
            log::write(log::level::info, "target_changed",
                       {{"target", current->id},
                        {"version", current->version},
                        {"state", std::string(name(current->state))},
                        {"sequence", static_cast<std::int64_t>(current->sequence)}});
        }
        co_await this->apply(current);
        this->start_recording();
    }

    void start_recording() {
        if (!this->is_recording.exchange(true)) {
            asio::co_spawn(this->context, record(this->shared_from_this()), asio::detached);
        }
    }

    std::string key() const {
        return std::string(fleet_keys::member_prefix) + this->settings.instance;
    }

    std::string current_record() const {
        member record;
        record.instance = this->settings.instance;
        record.ip = this->settings.ip;
        record.availability_zone = this->settings.availability_zone;
        record.processor_share = this->settings.processor_share;
        record.target = *this->tracker.current();
        return encode_member(record);
    }

    bool is_record_outdated() const {
        return this->tracker.current() && this->recorded_text != this->current_record();
    }

    // Writes the record until the store holds the latest version. The condition on the revision
    // prevents a delayed write from overwriting a newer record.
    static asio::awaitable<void> record(std::shared_ptr<implementation> self) {
        milliseconds backoff{0};
        // Without the row's revision, the write would be rejected.
        while (!self->fleet.is_initial_read_over()) {
            co_await self->pause(recording_poll_period);
        }
        // The record that an earlier process wrote may be lost.
        self->check_record();
        while (self->is_record_outdated()) {
            std::string const text = self->current_record();
            std::vector<replica_row> rows;
            rows.push_back({std::string(fleet_keys::table), self->key(), text,
                            self->fleet.condition(fleet_keys::table, self->key()), false});
            auto const outcome = co_await self->fleet.commit(std::move(rows), commit_path::shared);
            if (auto const* done = std::get_if<commit_done>(&outcome)) {
                self->set_recorded(text, done->revision.era);
                // The answer may have been on its way while the store came back from a copy.
                self->check_record();
                backoff = milliseconds(0);
                continue;
            }
            if (auto const* conflict = std::get_if<commit_conflict>(&outcome)) {
                self->resolve_conflict(*conflict, text);
            }
            backoff = std::clamp(backoff * 2, first_backoff, max_backoff);
            co_await self->wait_to_retry(backoff);
        }
        self->is_recording = false;
    }

    // After a lost response, the row may already hold the text that was to be written.
    void resolve_conflict(commit_conflict const& conflict, std::string const& text) {
        for (auto const& row : conflict.rows) {
            if (row.key == this->key() && row.value == text) {
                this->set_recorded(text, row.revision.era);
                this->check_record();
            }
        }
    }

    asio::awaitable<void> wait_until_recorded() {
        auto const until = std::chrono::steady_clock::now() + recording_timeout;
        while (this->is_record_outdated() && std::chrono::steady_clock::now() < until) {
            co_await this->pause(recording_poll_period);
        }
    }

    // Waits until the backoff has elapsed or rows arrive.
    asio::awaitable<void> wait_to_retry(milliseconds backoff) {
        co_await this->pause(first_backoff);
        this->retry.expires_after(backoff - first_backoff);
        co_await this->retry.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    sidecar_settings const& settings;
    fleet_sync& fleet;
    apply_function apply;
    warm_up_function report_warm_up;
    target_tracker tracker;
    boot_time last_announcement;
    bool has_deferred_target = false;
    /// Revision of the node's row that the tracker has taken into account.
    store_revision merged_revision;
    /// The record that the store is known to hold, and the era in which it was read or written.
    std::string recorded_text;
    std::uint64_t recorded_era = 0;
    asio::steady_timer retry;
    std::atomic<bool> is_recording{false};
    /// Whether a record of the target exists that the target has not confirmed to this process.
    std::atomic<bool> is_awaiting_target{false};
};

target_announcements::target_announcements(asio::io_context& context,
                                           sidecar_settings const& settings, fleet_sync& fleet,
                                           apply_function apply, warm_up_function report_warm_up)
    : self(std::make_shared<implementation>(context, settings, fleet, std::move(apply),
                                            std::move(report_warm_up))) {}

target_announcements::~target_announcements() = default;

asio::awaitable<http_response> target_announcements::respond(http_request request) {
    return this->self->respond(std::move(request));
}

void target_announcements::observe_state(target_record const& target) {
    asio::co_spawn(this->self->context, implementation::apply_state(this->self, target),
                   asio::detached);
}

void target_announcements::rows_changed() {
    this->self->rows_changed();
}

bool target_announcements::awaits_target() const {
    return this->self->awaits_target();
}

bool target_announcements::is_recorded() const {
    return this->self->is_recorded();
}

} // namespace peridot
