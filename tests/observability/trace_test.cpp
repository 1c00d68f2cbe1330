#include "observability/otlp.h"
#include "observability/span_buffer.h"
#include "observability/trace_context.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <atomic>
#include <cmath>
#include <set>
#include <string>
#include <thread>

using namespace peridot;

namespace {

std::string const valid_header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

span sampled_span(random_source& random, std::int64_t number) {
    span item;
    item.context = start_trace(random, 1.0);
    item.attributes.emplace_back("number", number);
    return item;
}

} // namespace

TEST_GROUP(trace_context) {
    random_source random{7};
};

// Guards against a trace that is interrupted at a node.
TEST(trace_context, valid_header_survives_a_round_trip) {
    auto const parsed = parse_traceparent(valid_header);
    CHECK_TRUE(is_ok(parsed));
    CHECK_TRUE(value(parsed).sampled);
    STRCMP_EQUAL(valid_header.c_str(), format_traceparent(value(parsed)).c_str());
    auto const child = child_of(value(parsed), this->random);
    CHECK_TRUE(child.trace == value(parsed).trace && child.span != value(parsed).span);
    CHECK_TRUE(child.sampled);
}

// Guards against accepting headers that the W3C standard defines as invalid.
TEST(trace_context, malformed_headers_are_rejected) {
    auto const replace_at = [](std::size_t position, std::string const& text) {
        return std::string(valid_header).replace(position, text.size(), text);
    };
    for (std::string const& header :
         {std::string(), valid_header + "-x", valid_header.substr(0, 54), replace_at(0, "ff"),
          replace_at(3, "4B"), replace_at(2, "_"), replace_at(3, std::string(32, '0')),
          replace_at(36, std::string(16, '0')), replace_at(53, "0g"),
          "01" + valid_header.substr(2) + "x", std::string(1 << 20, '0')}) {
        auto const parsed = parse_traceparent(header);
        CHECK_FALSE(is_ok(parsed));
        CHECK_TRUE(failure(parsed).code == result_code::request_malformed);
        CHECK_TRUE(continue_or_start_trace(header, this->random, 1.0).sampled);
    }
    CHECK_TRUE(is_ok(parse_traceparent("01" + valid_header.substr(2) + "-later-field")));
}

// Guards against an incorrect sampling rate, which would overload the collector or deprive it of
// spans.
TEST(trace_context, sampling_probability_is_respected) {
    int sampled = 0;
    for (int trace = 0; trace < 1'000; ++trace) {
        sampled += start_trace(this->random, 0.1).sampled ? 1 : 0;
    }
    CHECK_TRUE(sampled > 60 && sampled < 140);
    CHECK_FALSE(start_trace(this->random, 0.0).sampled);
}

// Guards against unbounded memory usage while the collector is unavailable, and against recording
// spans of unsampled traces.
TEST(trace_context, full_buffer_drops_and_counts_spans) {
    span_buffer buffer(2, 4);
    for (int number = 0; number < 6; ++number) {
        buffer.record(0, sampled_span(this->random, number));
    }
    buffer.record(1, span{});
    UNSIGNED_LONGS_EQUAL(2, buffer.dropped());
    UNSIGNED_LONGS_EQUAL(3, buffer.drain(3).size());
    UNSIGNED_LONGS_EQUAL(1, buffer.drain(3).size());
}

// Guards against data races between workers and the control thread.
TEST(trace_context, every_span_is_drained_once_or_counted_as_dropped) {
    constexpr std::size_t count = 5'000;
    span_buffer buffer(2, 64);
    std::atomic<int> running{2};
    auto const work = [&buffer, &running](std::size_t worker) {
        random_source worker_random(worker);
        for (std::size_t number = 0; number < count; ++number) {
            buffer.record(worker, sampled_span(worker_random, static_cast<std::int64_t>(number)));
        }
        --running;
    };
    std::thread first(work, 0);
    std::thread second(work, 1);
    std::set<trace_id> seen;
    std::size_t drained = 0;
    bool is_last_round = false;
    while (!is_last_round) {
        is_last_round = running == 0;
        for (auto const& item : buffer.drain(1'000)) {
            seen.insert(item.context.trace);
            ++drained;
        }
    }
    first.join();
    second.join();
    UNSIGNED_LONGS_EQUAL(drained, seen.size());
    UNSIGNED_LONGS_EQUAL(2 * count, drained + buffer.dropped());
}

// Guards against batches that a collector rejects: integers must be strings, identifiers
// hexadecimal, and the JSON must be valid even if the URL of a request is not valid UTF-8.
TEST(trace_context, batch_follows_the_json_mapping_of_otlp) {
    span item;
    item.context = value(parse_traceparent(valid_header));
    item.parent = item.context.span;
    item.name = "GET /\xff";
    item.kind = span_kind::server;
    item.start = wall_time(seconds(1));
    item.end = wall_time(milliseconds(1'500));
    item.status = span_status::error;
    item.attributes = {{"code", std::int64_t{4009}}, {"share", std::nan("")}, {"retry", true}};
    std::string const text = encode_batch({item}, {"peridot-node", "kasbah-1", "ariana"});
    auto const batch = boost::json::parse(text);
    auto const& encoded = batch.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0");
    STRCMP_EQUAL("4bf92f3577b34da6a3ce929d0e0e4736", encoded.at("traceId").as_string().c_str());
    STRCMP_EQUAL("00f067aa0ba902b7", encoded.at("parentSpanId").as_string().c_str());
    STRCMP_EQUAL("GET /?", encoded.at("name").as_string().c_str());
    STRCMP_EQUAL("1500000000", encoded.at("endTimeUnixNano").as_string().c_str());
    LONGS_EQUAL(2, encoded.at("kind").as_int64());
    LONGS_EQUAL(2, encoded.at_pointer("/status/code").as_int64());
    STRCMP_EQUAL("4009", encoded.at_pointer("/attributes/0/value/intValue").as_string().c_str());
    CHECK_TRUE(encoded.at_pointer("/attributes/2/value/boolValue").as_bool());
}
