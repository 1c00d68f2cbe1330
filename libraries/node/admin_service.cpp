#include "node/admin_service.h"

#include "admission/admission_controller.h"
#include "configuration/json_reader.h"
#include "configuration/names.h"
#include "core/result_code.h"
#include "distribution/distribution_agent.h"
#include "distribution/distribution_counters.h"
#include "distribution/lease_keeper.h"
#include "membership/membership_agent.h"
#include "node/node_parts.h"
#include "observability/metric_registry.h"
#include "proxy/node_state.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <limits>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::uint64_t most_slots = 65'536;

http_response answer(unsigned status, json::object const& body) {
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

// Before the first confirmation the age is as long as can be.
std::int64_t age_in_milliseconds(distribution_report const& report) {
    constexpr milliseconds never{std::numeric_limits<std::int32_t>::max()};
    return report.confirmation_age.value_or(never).count();
}

json::object describe_counters(distribution_counters const& totals, swim_counters const& gossip) {
    return {{"platform_reads", totals.platform_reads.load()},
            {"platform_failures", totals.platform_failures.load()},
            {"peer_fetches", totals.peer_fetches.load()},
            {"peer_failures", totals.peer_failures.load()},
            {"peer_answers", totals.peer_answers.load()},
            {"busy_answers", totals.busy_answers.load()},
            {"object_fetches", totals.object_fetches.load()},
            {"control_bytes_in", totals.bytes_in.load() + gossip.bytes_received},
            {"control_bytes_out", totals.bytes_out.load() + gossip.bytes_sent},
            {"gossip_bytes_in", gossip.bytes_received},
            {"gossip_bytes_out", gossip.bytes_sent}};
}

json::object describe_refusals(std::map<result_code, std::uint64_t> const& refusals) {
    json::object counts;
    for (auto const& [reason, count] : refusals) {
        counts[name(reason)] = count;
    }
    return counts;
}

struct announcement {
    local_target target;
    bool is_ready = false;
};

result<announcement> parse_announcement(std::string const& body) {
    boost::system::error_code failed;
    auto const document = json::parse(body, failed);
    json_reader reader(document, "", result_code::request_malformed);
    announcement announced;
    auto& target = announced.target;
    target.address.ip = reader.text("ip");
    target.address.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65'535));
    target.service = reader.text("service");
    target.target_version = reader.text("target_version");
    target.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, most_slots));
    auto const state = reader.text("state");
    if (state != "starting" && state != "ready" && state != "draining") {
        reader.reject("state", "must be starting, ready or draining");
    }
    if (!is_valid_name(target.service) || !is_valid_name(target.target_version)) {
        reader.reject("service", "or target_version is not a valid name");
    }
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    target.is_draining = state == "draining";
    announced.is_ready = state == "ready";
    return announced;
}

} // namespace

admin_service::admin_service(node_parts const& shared) : parts(&shared) {}

boost::asio::awaitable<http_response> admin_service::respond(http_request request) {
    if (request.target == "/status" && request.method == "GET") {
        co_return this->report_status();
    }
    if (request.target == "/target" && request.method == "PUT") {
        co_return this->announce_target(request.body);
    }
    if (request.target == "/metrics" && request.method == "GET") {
        co_return http_response{200,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                this->parts->registry.exposition()};
    }
    co_return answer(404, {{"message", "no such resource"}});
}

http_response admin_service::report_status() const {
    auto const held = this->parts->state.snapshots.current();
    auto const directory = this->parts->members.directory().load();
    json::array list;
    for (auto const& member : directory->members()) {
        list.push_back({{"instance", member->instance},
                        {"availability_zone", member->availability_zone},
                        {"service", member->service},
                        {"target_version", member->target_version},
                        {"state", static_cast<int>(member->state)}});
    }
    auto const report = this->parts->distribution.report();
    return answer(200, {{"instance", this->parts->state.instance},
                        {"availability_zone", this->parts->state.availability_zone},
                        {"version", held ? held->version() : 0},
                        {"manifest", held ? held->manifest_hash() : ""},
                        {"confirmation_age_ms", age_in_milliseconds(report)},
                        {"head_seen", report.head_seen},
                        {"platform_head", report.platform_head},
                        {"is_platform_older", report.is_platform_older},
                        {"is_watcher", report.is_watcher},
                        {"is_confirmed", report.is_confirmed},
                        {"is_lease_holder", this->parts->lease.held().has_value()},
                        {"freezes", report.freezes},
                        {"counters", describe_counters(this->parts->counters,
                                                       this->parts->members.protocol().counters())},
                        {"refusals", describe_refusals(report.refusals)},
                        {"is_ready", this->parts->state.is_ready.load()},
                        {"is_draining", this->parts->state.is_draining.load()},
                        {"members", std::move(list)}});
}

http_response admin_service::announce_target(std::string const& body) {
    auto const announced = parse_announcement(body);
    if (!is_ok(announced)) {
        return answer(400, {{"message", describe(failure(announced))}});
    }
    auto target = value(announced).target;
    auto const held = this->parts->state.target.load();
    // The target keeps its slots and its queue while it announces the same number of slots.
    bool const keeps_slots = held && held->slots == target.slots;
    target.admission = keeps_slots ? held->admission : this->make_admission(target.slots);
    if (!held || !(*held == target)) {
        this->parts->state.target.replace(std::make_shared<local_target const>(target));
        this->parts->members.set_target(target.service, target.target_version, target.slots);
    }
    if (!this->parts->state.is_draining) {
        this->parts->members.set_state(target.is_draining          ? member_state::draining
                                       : value(announced).is_ready ? member_state::serving
                                                                   : member_state::starting);
    }
    return answer(200, {});
}

std::shared_ptr<admission_controller> admin_service::make_admission(std::uint32_t slots) {
    admission_options options;
    options.limit.slots = slots;
    auto* const control = &this->parts->control;
    return std::make_shared<admission_controller>(
        options,
        [control](std::function<void()> work) { boost::asio::post(*control, std::move(work)); },
        [] { return std::chrono::steady_clock::now(); });
}

} // namespace peridot
