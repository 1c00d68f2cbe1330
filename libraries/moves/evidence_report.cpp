#include "moves/evidence_report.h"

#include "moves/sealing.h"

#include <moves.pb.h>

#include <algorithm>

namespace peridot {

namespace {

// Size of the tags, lengths and checksum that sealing adds.
constexpr std::size_t sealing_size = 8;

using bucket_field = google::protobuf::RepeatedField<std::uint64_t>;

error malformed(std::string message) {
    return {result_code::datagram_malformed, std::move(message)};
}

// Trailing zeros are omitted.
void write(latency_buckets::counts const& from, bucket_field& to) {
    auto const last =
        std::find_if(from.rbegin(), from.rend(), [](std::uint64_t count) { return count != 0; });
    to.Add(from.begin(), last.base());
}

void write(version_evidence const& from, moves_wire::version_counts& to) {
    to.set_calls(from.calls);
    to.set_failures(from.failures);
    to.set_loaded_calls(from.loaded_calls);
    to.set_loaded_failures(from.loaded_failures);
    to.set_pressure_sum(from.pressure_sum);
    write(from.latencies, *to.mutable_latencies());
    auto unanswered = from.reached;
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        unanswered[bucket] -= calls_at_or_above(from.latencies, bucket);
    }
    write(unanswered, *to.mutable_unanswered());
}

result<version_evidence> read(moves_wire::version_counts const& from) {
    auto const buckets =
        static_cast<std::size_t>(std::max(from.latencies_size(), from.unanswered_size()));
    if (buckets > latency_buckets::count) {
        return malformed("evidence report has too many latency buckets");
    }
    version_evidence counts;
    counts.calls = from.calls();
    counts.failures = from.failures();
    counts.loaded_calls = from.loaded_calls();
    counts.loaded_failures = from.loaded_failures();
    counts.pressure_sum = from.pressure_sum();
    std::copy(from.latencies().begin(), from.latencies().end(), counts.latencies.begin());
    std::copy(from.unanswered().begin(), from.unanswered().end(), counts.reached.begin());
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        counts.reached[bucket] += calls_at_or_above(counts.latencies, bucket);
    }
    if (!is_valid_successor(counts, version_evidence{})) {
        return malformed("evidence report has inconsistent counts");
    }
    return counts;
}

moves_wire::evidence_report header(evidence_report const& report) {
    moves_wire::evidence_report message;
    message.set_move(report.move);
    message.set_node(report.node);
    message.set_incarnation(report.incarnation);
    message.set_sequence(report.sequence);
    return message;
}

status read_routes(moves_wire::evidence_report const& message, evidence_by_route& routes) {
    for (auto const& entry : message.routes()) {
        auto const old_version = read(entry.old_version());
        auto const new_version = read(entry.new_version());
        if (!is_ok(old_version) || !is_ok(new_version)) {
            return failure(is_ok(old_version) ? new_version : old_version);
        }
        if (entry.route().empty() || entry.route().size() > route_evidence::maximum_route_length ||
            !routes.emplace(entry.route(), route_evidence{value(old_version), value(new_version)})
                 .second) {
            return malformed(
                "evidence report has a route name that is empty, too long or repeated");
        }
    }
    return success();
}

} // namespace

std::vector<std::string> encode(evidence_report const& report) {
    std::vector<std::string> datagrams;
    auto message = header(report);
    auto const flush = [&] {
        if (message.routes_size() > 0) {
            datagrams.push_back(seal(message.SerializeAsString()));
            message = header(report);
        }
    };
    for (auto const& [route, counts] : report.routes) {
        auto* entry = message.add_routes();
        entry->set_route(route);
        write(counts.old_version, *entry->mutable_old_version());
        write(counts.new_version, *entry->mutable_new_version());
        if (message.ByteSizeLong() + sealing_size > evidence_report::maximum_datagram_size &&
            message.routes_size() > 1) {
            moves_wire::route_counts overflow;
            overflow.Swap(entry);
            message.mutable_routes()->RemoveLast();
            flush();
            message.add_routes()->Swap(&overflow);
        }
    }
    flush();
    return datagrams;
}

result<evidence_report> decode_evidence_report(std::string_view bytes) {
    if (bytes.size() > evidence_report::maximum_datagram_size) {
        return malformed("evidence report exceeds the maximum datagram size");
    }
    auto const body = unseal(bytes);
    moves_wire::evidence_report message;
    if (!body || !message.ParseFromString(*body)) {
        return malformed("evidence report is corrupted");
    }
    if (message.move().empty() || message.node().empty()) {
        return malformed("evidence report does not name a move and a node");
    }
    evidence_report report{
        message.move(), message.node(), message.incarnation(), message.sequence(), {}};
    if (auto const outcome = read_routes(message, report.routes); !is_ok(outcome)) {
        return failure(outcome);
    }
    return report;
}

} // namespace peridot
