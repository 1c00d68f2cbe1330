#include "membership/datagram_codec.h"
#include "membership/datagram_writer.h"
#include "membership/simulated_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace peridot;
using peridot::simulation::make_record;
using peridot::simulation::simulated_fleet;

namespace {

datagram make_push() {
    datagram header;
    header.sender = "instance-1001";
    header.incarnation = 5;
    return header;
}

void check_rejected(std::string const& bytes) {
    auto const decoded = decode_datagram(bytes);
    CHECK_FALSE(is_ok(decoded));
    CHECK(failure(decoded).code == result_code::datagram_malformed);
}

std::string with_update(member_update const& update) {
    return encode_header(make_push()) + encode_update(update);
}

// Applies one to eight mutations: flips a bit, replaces a byte, or removes or duplicates a range.
std::string mutate(std::string bytes, random_source& random) {
    for (std::uint64_t change = 1 + random() % 8; change > 0 && !bytes.empty(); --change) {
        std::size_t const offset = random() % bytes.size();
        std::size_t const length = random() % 16;
        switch (random() % 4) {
        case 0:
            bytes[offset] = static_cast<char>(bytes[offset] ^ (1U << (random() % 8)));
            break;
        case 1:
            bytes[offset] = static_cast<char>(random());
            break;
        case 2:
            bytes.erase(offset, length);
            break;
        default:
            bytes.insert(offset, bytes.substr(offset, length));
        }
    }
    return bytes;
}

} // namespace

TEST_GROUP(datagram){};

// Guards against fields that are lost in encoding or decoding.
TEST(datagram, round_trips_through_encoding) {
    datagram header = make_push();
    header.kind = datagram_kind::page_request;
    header.sequence = 7;
    header.probe = 9;
    header.target = "instance-1002";
    header.target_address = {"10.0.0.3", 7002};
    header.record_wanted = true;
    header.digest = 77;
    header.bucket_digests.assign(digest_buckets, 5);
    header.buckets.set(0).set(9).set(191);
    header.after = "instance-1000";
    datagram_writer writer(header);
    member_update const update{make_record(3), liveness::suspect, "instance-1004", 12s};
    CHECK(writer.try_append(encode_update(update)));
    CHECK(writer.try_append(encode_attachment({6, std::string("a\0b", 3)})));
    auto const outcome = decode_datagram(writer.bytes());
    CHECK(is_ok(outcome));
    auto const& decoded = value(outcome);
    CHECK(decoded.kind == header.kind && decoded.sender == header.sender);
    CHECK(decoded.incarnation == 5 && decoded.sequence == 7 && decoded.probe == 9);
    CHECK(decoded.target == header.target && decoded.target_address == header.target_address);
    CHECK(decoded.record_wanted && decoded.digest == 77);
    CHECK(decoded.bucket_digests == header.bucket_digests && decoded.buckets == header.buckets &&
          decoded.after == header.after);
    CHECK_EQUAL(1U, decoded.updates.size());
    CHECK(decoded.updates[0].record == update.record &&
          decoded.updates[0].accuser == "instance-1004");
    CHECK(decoded.updates[0].state == liveness::suspect && decoded.updates[0].gone_for == 12s);
    CHECK(decoded.attachments.at(0).kind == 6);
    CHECK(decoded.attachments.at(0).content == std::string("a\0b", 3));
}

// Guards against incompatibility with nodes of a later version.
TEST(datagram, unknown_fields_are_skipped) {
    // Field 100, varint 1; and field 101, three bytes.
    std::string const unknown("\xa0\x06\x01\xaa\x06\x03xyz", 9);
    CHECK(is_ok(decode_datagram(with_update({make_record(1)}) + unknown)));
}

// Guards against requests that exceed the datagram limit when names have maximum length.
TEST(datagram, the_largest_request_fits) {
    datagram header = make_push();
    header.kind = datagram_kind::page_request;
    header.sender = std::string(128, 's');
    header.incarnation = header.sequence = (std::uint64_t{1} << 62U) - 1;
    header.bucket_digests.assign(digest_buckets, 5);
    header.buckets = all_buckets();
    header.after = std::string(128, 'a');
    CHECK(is_ok(decode_datagram(encode_header(header))));
}

// Guards against input that exhausts memory or corrupts the table.
TEST(datagram, out_of_range_values_are_rejected) {
    check_rejected("");
    check_rejected(std::string(1200, 'x'));
    check_rejected("no protobuf");
    datagram without_sender = make_push();
    without_sender.sender.clear();
    check_rejected(encode_header(without_sender));
    member_update update{make_record(1)};
    update.record.instance = std::string(129, 'n');
    check_rejected(with_update(update));
    update = {make_record(1)};
    update.record.sequence = UINT64_MAX;
    check_rejected(with_update(update));
    update = {make_record(1)};
    update.record.gossip_port = 0;
    check_rejected(with_update(update));
    update = {make_record(1)};
    update.state = static_cast<liveness>(4);
    check_rejected(with_update(update));
    update = {make_record(1)};
    update.record.ip.clear();
    check_rejected(with_update(update));
    std::string many = encode_header(make_push());
    for (int count = 0; count < 65; ++count) {
        many += encode_update({{.instance = "a"}, liveness::dead});
    }
    CHECK(many.size() < datagram_bytes_limit);
    check_rejected(many);
    check_rejected(encode_header(make_push()) +
                   encode_attachment({1, std::string(max_attachment_bytes + 1, 'x')}));
}

// Guards against corrupt datagrams or pages that crash a member, are rejected with a wrong code, or
// trigger many responses.
TEST(datagram, mutated_datagrams_are_rejected_or_processed_without_a_crash) {
    random_source random(21);
    simulated_fleet fleet(22);
    fleet.add_synchronized_members(8);
    for (int round = 0; round < 150; ++round) {
        fleet.run(100ms);
        swim_protocol& victim = fleet.at(static_cast<std::size_t>(round) % 8);
        swim_protocol& sender = fleet.at(static_cast<std::size_t>(round + 1) % 8);
        for (int count = 0; count < 100; ++count) {
            datagram header = make_push();
            header.sender = sender.own().instance;
            header.incarnation = sender.own().incarnation;
            header.kind = static_cast<datagram_kind>(random() % 8);
            header.target = victim.own().instance;
            header.digest = random() % 2;
            header.bucket_digests.assign(random() % 2 == 0 ? 0 : digest_buckets, 3);
            header.buckets = bucket_set(random());
            member_update const claim{
                {.instance = sender.own().instance, .incarnation = header.incarnation},
                liveness::suspect,
                victim.own().instance};
            auto const bytes = encode_header(header) + encode_update({sender.own()}) +
                               encode_update(claim) + encode_attachment({1, "attached"});
            auto const outcome =
                victim.receive({"10.0.0.1", 7002}, mutate(bytes, random), fleet.now());
            CHECK(is_ok(outcome) || failure(outcome).code == result_code::datagram_malformed ||
                  failure(outcome).code == result_code::member_superseded);
            victim.merge_page(mutate(victim.page(all_buckets(), {}, fleet.now()), random),
                              fleet.now());
        }
        CHECK(victim.take_outgoing().size() < 1000);
    }
    CHECK(fleet.largest_datagram() < datagram_bytes_limit);
    for (std::size_t member = 0; member < 8; ++member) {
        CHECK(fleet.at(member).counters().malformed > 0);
    }
}
