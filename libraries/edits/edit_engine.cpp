#include "edits/edit_engine.h"

#include "configuration/configuration_head.h"
#include "core/digest.h"
#include "edits/edit_planner.h"
#include "platform/object_client.h"
#include "platform/table_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::uint32_t max_attempts = 50;
constexpr milliseconds base_backoff{10};
constexpr milliseconds max_backoff{1000};
// Timeout of one platform request. It is short so that time remains to resolve a lost answer.
constexpr milliseconds request_timeout{2000};

// Metadata in the row of an edit's subject, without the subject's content.
struct subject_state {
    std::uint64_t revision = 0;
    std::string edit_id;
    std::uint64_t version = 0;
};

subject_state read_subject(table_row const& row) {
    subject_state state;
    state.revision = row.revision;
    boost::system::error_code failed;
    auto const document = json::parse(row.value, failed);
    if (auto const* fields = document.if_object()) {
        auto const* edit_id = fields->if_contains("edit");
        auto const* version = fields->if_contains("version");
        if (edit_id != nullptr && edit_id->is_string()) {
            state.edit_id = edit_id->as_string();
        }
        if (version != nullptr && version->is_number()) {
            state.version = version->to_number<std::uint64_t>(failed);
        }
    }
    return state;
}

bool is_transient(result_code code) {
    return code == result_code::platform_unavailable || code == result_code::platform_throttled ||
           code == result_code::platform_answer_lost;
}

} // namespace

class edit_engine::implementation {
public:
    implementation(table_client& rows, object_client& store, random_source& source)
        : table(rows), objects(store), random(source) {}

    asio::awaitable<result<accepted_edit>>
    accept(edit change, std::string edit_id, std::uint64_t fleet_version, steady_time deadline) {
        attempt_state state;
        if (auto const* put = std::get_if<contract_put>(&change)) {
            state.base_revision = put->base_revision;
        }
        error last_error{result_code::platform_unavailable,
                         "the deadline passed before the first attempt"};
        for (std::uint32_t attempt = 0; attempt < max_attempts; ++attempt) {
            if (attempt > 0) {
                co_await this->back_off(attempt);
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                break;
            }
            auto outcome =
                co_await this->attempt_once(change, edit_id, fleet_version, state, deadline);
            if (is_ok(outcome)) {
                co_return outcome;
            }
            last_error = failure(outcome);
            if (last_error.code != result_code::platform_conflict &&
                !is_transient(last_error.code)) {
                co_return last_error;
            }
            state.may_have_committed |= last_error.code == result_code::platform_answer_lost;
        }
        if (state.may_have_committed) {
            last_error.code = result_code::platform_answer_lost;
            last_error.message += "; the edit " + edit_id + " may have taken effect";
        }
        co_return last_error;
    }

private:
    struct attempt_state {
        /// Revision of the subject's row that the edit is based on; set by the first attempt.
        std::optional<std::uint64_t> base_revision;
        std::uint32_t rebases = 0;
        bool may_have_committed = false;
    };

    static steady_time request_deadline(steady_time deadline) {
        return std::min(deadline, std::chrono::steady_clock::now() + request_timeout);
    }

    asio::awaitable<result<accepted_edit>>
    attempt_once(edit const& change, std::string const& edit_id, std::uint64_t fleet_version,
                 attempt_state& state, steady_time deadline) {
        auto const subject_key = subject_row_key(change);
        auto subject_result = co_await this->table.read(subject_key, request_deadline(deadline));
        if (!is_ok(subject_result)) {
            co_return not_committed(failure(subject_result));
        }
        auto const subject = read_subject(value(subject_result));
        auto head_row = co_await this->table.read("head", request_deadline(deadline));
        if (!is_ok(head_row)) {
            co_return not_committed(failure(head_row));
        }
        configuration_head head;
        if (value(head_row).revision != 0) {
            auto parsed = parse_head(value(head_row).value);
            if (!is_ok(parsed)) {
                co_return failure(parsed);
            }
            head = value(parsed);
        }
        // An earlier attempt of this edit took effect although its answer was lost.
        if (subject.edit_id == edit_id) {
            co_return accepted_edit{subject.version, {}, edit_id, state.rebases};
        }
        if (!state.base_revision) {
            state.base_revision = subject.revision;
        }
        if (*state.base_revision != subject.revision) {
            co_return error{result_code::contract_conflict,
                            subject_key + " was changed by the edit " + subject.edit_id +
                                " (version " + std::to_string(subject.version) + ")"};
        }
        co_return co_await this->commit(change, edit_id, fleet_version, state,
                                        value(head_row).revision, head, subject_key, deadline);
    }

    asio::awaitable<result<accepted_edit>>
    commit(edit const& change, std::string const& edit_id, std::uint64_t fleet_version,
           attempt_state& state, std::uint64_t head_revision, configuration_head const& head,
           std::string const& subject_key, steady_time deadline) {
        auto current = co_await this->read_manifest(head, deadline);
        if (!is_ok(current)) {
            co_return not_committed(failure(current));
        }
        auto planned = co_await plan_edit(change, value(current), this->table, this->objects,
                                          request_deadline(deadline));
        if (!is_ok(planned)) {
            co_return not_committed(failure(planned));
        }
        auto& plan = value(planned);
        plan.next.version = std::max(head.version, fleet_version) + 1;
        auto const manifest_text = serialize(plan.next);
        configuration_head const next{plan.next.version, sha256_hex(manifest_text), edit_id};
        auto const stored = co_await this->store(plan, next.manifest_hash, manifest_text, deadline);
        if (!is_ok(stored)) {
            co_return not_committed(failure(stored));
        }
        auto committed = co_await this->table.commit(
            make_transaction(plan, next, head_revision, subject_key, *state.base_revision),
            request_deadline(deadline));
        if (!is_ok(committed)) {
            if (failure(committed).code == result_code::platform_conflict) {
                ++state.rebases;
            }
            co_return failure(committed);
        }
        co_return accepted_edit{next.version, next.manifest_hash, edit_id, state.rebases};
    }

    // Maps a lost answer to platform_unavailable for reads and object writes. Only the lost answer
    // of a commit leaves the outcome of the edit unknown.
    static error not_committed(error reason) {
        if (reason.code == result_code::platform_answer_lost) {
            reason.code = result_code::platform_unavailable;
        }
        return reason;
    }

    static table_transaction make_transaction(edit_plan const& plan, configuration_head const& next,
                                              std::uint64_t head_revision,
                                              std::string const& subject_key,
                                              std::uint64_t subject_revision) {
        boost::system::error_code failed;
        json::object const subject{{"content", json::parse(plan.subject_content, failed)},
                                   {"edit", next.edit},
                                   {"version", next.version}};
        auto const now = std::chrono::system_clock::now().time_since_epoch();
        json::object const record{
            {"manifest", next.manifest_hash},
            {"edit", next.edit},
            {"summary", plan.summary},
            {"accepted_ms", std::chrono::duration_cast<milliseconds>(now).count()}};
        return {{{"head", head_revision}, {subject_key, subject_revision}},
                {{"head", serialize(next)},
                 {subject_key, json::serialize(subject)},
                 {"versions/" + std::to_string(next.version), json::serialize(record)}}};
    }

    asio::awaitable<result<manifest>> read_manifest(configuration_head const& head,
                                                    steady_time deadline) {
        if (head.version == 0) {
            co_return manifest{};
        }
        auto bytes = co_await read_verified(this->objects, "manifests", head.manifest_hash,
                                            request_deadline(deadline));
        if (!is_ok(bytes)) {
            co_return failure(bytes);
        }
        co_return parse_manifest(value(bytes));
    }

    asio::awaitable<status> store(edit_plan const& plan, std::string const& manifest_hash,
                                  std::string const& manifest_text, steady_time deadline) {
        for (auto const& [hash, bytes] : plan.chunks) {
            auto const stored =
                co_await this->objects.put("chunks/" + hash, bytes, request_deadline(deadline));
            if (!is_ok(stored)) {
                co_return failure(stored);
            }
        }
        co_return co_await this->objects.put("manifests/" + manifest_hash, manifest_text,
                                             request_deadline(deadline));
    }

    // Uses full jitter, so that conflicting edits are unlikely to conflict again.
    asio::awaitable<void> back_off(std::uint32_t attempt) {
        auto const bound = std::min<std::int64_t>(max_backoff.count(),
                                                  base_backoff.count() << std::min(attempt, 7U));
        std::uniform_int_distribution<std::int64_t> delay(0, bound);
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 milliseconds(delay(this->random)));
        co_await timer.async_wait(asio::use_awaitable);
    }

    table_client& table;
    object_client& objects;
    random_source& random;
};

edit_engine::edit_engine(table_client& table, object_client& objects, random_source& random)
    : self(std::make_unique<implementation>(table, objects, random)) {}

edit_engine::~edit_engine() = default;

asio::awaitable<result<accepted_edit>> edit_engine::accept(edit change, std::string edit_id,
                                                           std::uint64_t fleet_version,
                                                           steady_time deadline) {
    return this->self->accept(std::move(change), std::move(edit_id), fleet_version, deadline);
}

} // namespace peridot
