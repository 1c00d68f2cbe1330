#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

/// Numbered outcome of an operation. The codes are documented in docs/result-codes.md; numbers are
/// never reused.
enum class result_code : std::uint16_t {
    ok = 0,

    // 1xxx: settings and command line.
    settings_unreadable = 1001,
    settings_malformed = 1002,
    settings_invalid = 1003,
    address_unavailable = 1004,
    usage = 1005,

    // 2xxx: contracts and validation.
    contract_malformed = 2001,
    contract_unknown_service = 2002,
    contract_impossible_limit = 2003,
    contract_dangling_reference = 2004,
    contract_without_target_version = 2005,
    contract_shifts_traffic = 2006,
    contract_conflict = 2007,
    contract_not_found = 2008,
    contract_duplicate_route = 2009,
    version_not_found = 2010,

    // 3xxx: distribution.
    version_not_newer = 3001,
    hash_mismatch = 3002,
    chunk_malformed = 3003,
    chunk_missing = 3004,
    manifest_malformed = 3005,
    head_malformed = 3006,
    head_older_than_held = 3007,
    no_version_held = 3008,
    reference_outside_scope = 3009,
    sync_busy = 3010,
    version_conflict = 3011,

    // 4xxx: requests.
    request_unauthenticated = 4001,
    request_no_route = 4002,
    request_limit_exceeded = 4003,
    request_overloaded = 4004,
    request_draining = 4005,
    request_deadline_exceeded = 4006,
    request_no_endpoint = 4007,
    request_connect_failed = 4008,
    request_outcome_unknown = 4009,
    request_answer_incomplete = 4010,
    request_answer_mismatched = 4011,
    request_misdirected = 4012,
    request_malformed = 4013,
    request_cancelled = 4014,
    request_too_large = 4015,
    request_not_ready = 4016,
    request_duplicate = 4017,
    request_version_blocked = 4018,
    request_zone_evacuated = 4019,

    // 5xxx: platform.
    platform_unavailable = 5001,
    platform_conflict = 5002,
    platform_not_found = 5003,
    platform_answer_lost = 5004,
    platform_answer_malformed = 5005,
    platform_throttled = 5006,
    platform_history_gone = 5007,
    platform_record_malformed = 5008,
    platform_value_unknown = 5009,
    platform_era_ended = 5010,

    // 6xxx: membership.
    datagram_malformed = 6001,
    member_unknown = 6002,
    member_superseded = 6003,

    // 7xxx: moves.
    move_malformed = 7001,
    move_conflict = 7002,
    move_without_targets = 7003,
    move_time_impossible = 7004,
    move_not_found = 7005,
    move_finished = 7006,
};

/// Returns the code's name as listed in docs/result-codes.md.
std::string_view name(result_code code);

} // namespace peridot
