#include "membership/member_table.h"
#include "membership/simulated_fleet.h"
#include "membership/suspicion.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace std::chrono_literals;
using namespace peridot;
using peridot::simulation::make_record;
using peridot::simulation::simulated_fleet;

namespace {

member_update claim_on(member_record const& record, liveness state) {
    member_update update{{.instance = record.instance}, state};
    update.record.incarnation = record.incarnation;
    update.record.sequence = record.sequence;
    return update;
}

} // namespace

TEST_GROUP(swim_protocol) {
    random_source random{31};
    steady_time now{1h};
    member_table table{make_record(0), 4, now};
};

// Guards against an older update that overrides a newer one.
TEST(swim_protocol, updates_are_ordered_by_incarnation_sequence_and_liveness) {
    auto record = make_record(1);
    record.sequence = 4;
    CHECK(table.apply({record}, now, random) == update_effect::changed);
    CHECK(table.apply({record}, now, random) == update_effect::none);
    CHECK(table.apply(claim_on(record, liveness::dead), now, random) == update_effect::changed);
    CHECK(table.apply({record}, now, random) == update_effect::none);
    CHECK(table.apply(claim_on(record, liveness::suspect), now, random) == update_effect::none);
    record.sequence = 5;
    CHECK(table.apply({record}, now, random) == update_effect::changed);
    CHECK(table.find(record.instance)->state == liveness::alive);
    auto former = record;
    --former.incarnation;
    former.sequence = 900;
    CHECK(table.apply({former}, now, random) == update_effect::none);
    CHECK(table.apply(claim_on(former, liveness::dead), now, random) == update_effect::none);
    CHECK(table.find(record.instance)->record == record);
}

// Guards against forged records that exhaust memory or evict present members.
TEST(swim_protocol, a_full_table_evicts_only_absent_members) {
    for (std::size_t number = 1; number < 4; ++number) {
        CHECK(table.apply({make_record(number)}, now, random) == update_effect::changed);
    }
    CHECK(table.apply({make_record(4)}, now, random) == update_effect::none);
    table.apply(claim_on(make_record(2), liveness::dead), now, random);
    CHECK(table.apply({make_record(4)}, now, random) == update_effect::changed);
    CHECK(table.find(make_record(2).instance) == nullptr);
    CHECK_EQUAL(3U, table.peers().size());
}

// Guards against digests that differ for the same members, or match when a version differs.
TEST(swim_protocol, the_digest_depends_on_members_and_not_on_their_history) {
    member_table other(make_record(1), 4, now);
    table.apply({make_record(1)}, now, random);
    table.apply({make_record(2)}, now, random);
    table.apply(claim_on(make_record(2), liveness::dead), now, random);
    other.apply({make_record(0)}, now, random);
    CHECK_EQUAL(table.digest(), other.digest());
    auto next = make_record(0);
    ++next.sequence;
    other.apply({next}, now, random);
    CHECK(table.digest() != other.digest());
}

// Guards against members that are never probed or are probed late.
TEST(swim_protocol, each_round_probes_each_member_once) {
    member_table large(make_record(0), 100, now);
    for (std::size_t number = 1; number < 20; ++number) {
        large.apply({make_record(number)}, now, random);
    }
    while (large.next_in_round(random) != large.peers().back()) {
    }
    for (int round = 0; round < 3; ++round) {
        std::set<std::string> probed;
        for (int count = 0; count < 19; ++count) {
            probed.insert(large.next_in_round(random)->record.instance);
        }
        CHECK_EQUAL(19U, probed.size());
    }
}

// Guards against suspicions that expire too early in a large fleet or ignore confirmations.
TEST(swim_protocol, suspicion_grows_with_the_fleet_and_shrinks_with_confirmations) {
    swim_settings const settings;
    CHECK(suspicion_timeout(settings, 860, 0) > suspicion_timeout(settings, 64, 0));
    CHECK(suspicion_timeout(settings, 64, 0) > suspicion_timeout(settings, 64, 1));
    CHECK(suspicion_timeout(settings, 64, 2) > suspicion_timeout(settings, 64, 3));
    CHECK(suspicion_timeout(settings, 64, 3) == suspicion_timeout(settings, 64, 9));
    CHECK(suspicion_timeout(settings, 2, 0) == settings.suspicion_base);
}

// Guards against heads, gates and latches that are not delivered or have a wrong sender.
TEST(swim_protocol, attachments_are_sent_with_probes_and_on_their_own) {
    simulated_fleet fleet(32);
    fleet.add_synchronized_members(6);
    std::multiset<std::string> received;
    auto const listen = [&](std::string_view bytes, std::string_view sender) {
        received.insert(std::string(sender) + ":" + std::string(bytes));
    };
    for (std::size_t member = 1; member < 6; ++member) {
        fleet.at(member).set_attachment_provider(3, {nullptr, listen});
    }
    fleet.at(0).set_attachment_provider(3, {[] { return std::string("head"); }, nullptr});
    fleet.run(10s);
    CHECK(received.count("instance-1000:head") >= 10);
    received.clear();
    CHECK(is_ok(fleet.at(1).send_attachment("instance-1002", {3, "demand"})));
    CHECK_EQUAL(3U, fleet.at(2).push_attachment({3, "latch"}, 3));
    fleet.flush(1);
    fleet.flush(2);
    fleet.run(10ms);
    CHECK_EQUAL(1U, received.count("instance-1001:demand"));
    CHECK(received.count("instance-1002:latch") >= 2); // Member 0 has no receiver.
    auto const unknown = fleet.at(1).send_attachment("unknown", {3, "demand"});
    CHECK(failure(unknown).code == result_code::member_unknown);
    CHECK_FALSE(is_ok(fleet.at(1).send_attachment("instance-1002", {3, std::string(901, 'x')})));
}

// Guards against one subsystem that starves the attachments of the others.
TEST(swim_protocol, attachments_that_do_not_all_fit_are_rotated) {
    simulated_fleet fleet(33);
    fleet.add_synchronized_members(2);
    std::set<std::uint32_t> received;
    for (std::uint32_t kind = 1; kind <= 5; ++kind) {
        auto const current = [kind] { return std::string(kind == 5 ? 5000 : 300, 'x'); };
        fleet.at(0).set_attachment_provider(kind, {current, nullptr});
        fleet.at(1).set_attachment_provider(
            kind,
            {nullptr, [&received, kind](auto const&, auto const&) { received.insert(kind); }});
    }
    fleet.run(10s);
    CHECK(received == (std::set<std::uint32_t>{1, 2, 3, 4}));
    CHECK(fleet.largest_datagram() < 1200);
}

// Guards against truncated lists and oversized pages when pages are fetched over HTTP.
TEST(swim_protocol, pages_carry_the_whole_list) {
    simulated_fleet fleet(34);
    fleet.add(make_record(0));
    for (auto const& page : simulation::make_pages(1500)) {
        fleet.at(0).merge_page(page, fleet.now());
    }
    auto const joined = fleet.add(make_record(1500));
    std::string after;
    int pages = 0;
    do {
        auto const page = fleet.at(0).page(all_buckets(), after, fleet.now());
        CHECK(page.size() < std::size_t{64} * 1024);
        auto const next = fleet.at(joined).merge_page(page, fleet.now());
        CHECK(is_ok(next));
        after = value(next);
        ++pages;
    } while (!after.empty());
    CHECK(pages > 1);
    CHECK_EQUAL(1501U, fleet.at(joined).present().size());
}

// Guards against differences that gossip no longer repairs because all updates were lost.
TEST(swim_protocol, differences_are_exchanged_with_a_random_peer) {
    simulated_fleet fleet(35);
    fleet.add_synchronized_members(12);
    fleet.set_network([](std::size_t from, std::size_t to) {
        bool const is_partitioned = (from == 2) != (to == 2);
        return is_partitioned ? std::nullopt : std::optional(milliseconds(2));
    });
    fleet.run(100ms);
    fleet.at(2).set_target("payouts", "v2", 6, fleet.now());
    fleet.run(1min);
    fleet.set_network(nullptr);
    CHECK(fleet.run_until([&] { return fleet.is_converged(); }, 60s).has_value());
    STRCMP_EQUAL("v2", fleet.at(9).record_of("instance-1002")->target_version.c_str());
}

// Guards against a node that waits for pages in datagrams although it fetches them over HTTP.
TEST(swim_protocol, external_exchange_requests_a_fetch_from_the_node) {
    simulated_fleet fleet(36);
    fleet.add_synchronized_members(2);
    fleet.at(0).set_exchange_transport(exchange_transport::external);
    auto const source = fleet.add(make_record(9));
    fleet.kill(source);
    fleet.at(1).merge_page(fleet.at(source).page(all_buckets(), {}, fleet.now()), fleet.now());
    std::vector<exchange_request> requests;
    auto const is_requested = [&] {
        auto taken = fleet.at(0).take_exchange_requests();
        requests.insert(requests.end(), taken.begin(), taken.end());
        return !requests.empty();
    };
    CHECK(fleet.run_until(is_requested, 20s).has_value());
    STRCMP_EQUAL("instance-1001", requests.front().instance.c_str());
    CHECK_EQUAL(7001, requests.front().peer_port);
    auto const page = fleet.at(1).page(requests.front().buckets, {}, fleet.now());
    CHECK(is_ok(fleet.at(0).merge_page(page, fleet.now())));
    CHECK(fleet.at(0).state_of("instance-1009").has_value());
}
