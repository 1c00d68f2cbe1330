#include "sidecar/member_json.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

member make_member() {
    member record;
    record.instance = "instance-1";
    record.ip = "10.0.0.1";
    record.availability_zone = "ariana";
    record.processor_share = 0.2;
    record.target.id = "i-1";
    record.target.service = "deposits";
    record.target.version = "v1";
    record.target.slots = 12;
    record.target.started_ms = 1'700'000'000'000;
    return record;
}

// The record of make_member() with one piece of its text replaced.
std::string text_with(std::string const& piece, std::string const& replacement) {
    auto text = encode_member(make_member());
    auto const position = text.find(piece);
    CHECK(position != std::string::npos);
    return text.replace(position, piece.size(), replacement);
}

} // namespace

TEST_GROUP(member_json){};

// Guards against records that other nodes read differently.
TEST(member_json, record_round_trips) {
    auto const read = decode_member(encode_member(make_member()));
    CHECK(is_ok(read));
    CHECK(value(read).target == make_member().target);
    STRCMP_EQUAL("10.0.0.1", value(read).ip.c_str());
}

// Guards against nodes that end or stop following the members because another writer has left one
// odd record among them.
TEST(member_json, odd_records_are_refused) {
    std::string const nested(100'000, '[');
    for (auto const& text :
         {nested, text_with("\"i-1\"", nested), text_with("12", "4294967295"),
          text_with("12", "1e400"), text_with("12", "-1"), text_with("12", "\"many\""),
          text_with("12", "123456789012345678901234567890"),
          text_with("10.0.0.1", "10.0.0.1:99999"), text_with("10.0.0.1", "10.0.0.300"),
          text_with("\"10.0.0.1\"", "17"), std::string(), std::string("\x80\xff")}) {
        CHECK_FALSE(is_ok(decode_member(text)));
    }
}
